"""Structured logs with numbered events, and the time line read from them."""
