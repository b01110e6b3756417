"""Small stand-ins for the systems that poplarfold meets, for tests and demos."""
