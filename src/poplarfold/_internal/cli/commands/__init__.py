"""One module per subcommand."""
