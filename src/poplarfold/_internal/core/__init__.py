"""The decision logic of a node: state tables and the systems that update them."""
