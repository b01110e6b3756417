"""Numbered events, how they are written, and the time line made from them."""
