"""The implementation of poplarfold. Nothing in this package is public."""
