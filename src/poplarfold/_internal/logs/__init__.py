"""Numbered log events: the catalogue, the writer and the merged timeline."""
