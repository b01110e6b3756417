"""Decisions of a node as tables and the systems that run over them."""
