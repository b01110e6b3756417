"""A soak test: random faults against router processes and platform stand-ins."""
