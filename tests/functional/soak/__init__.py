"""A long randomised run of real daemons and stand-ins over loopback sockets."""
