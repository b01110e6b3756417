"""The implementation of poplarfold. Nothing below is a public interface."""
