"""Shared fixtures."""
