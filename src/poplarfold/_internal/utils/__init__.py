"""Small utilities that several packages share."""
