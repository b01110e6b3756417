"""Measurements of the core and of the daemon."""
