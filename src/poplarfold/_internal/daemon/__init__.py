"""The daemon: I/O around the core of one node."""
