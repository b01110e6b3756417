"""Code that several tests share."""
