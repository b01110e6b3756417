"""Randomised long runs of real daemons and stand-ins over loopback sockets."""
