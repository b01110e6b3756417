"""HTTP parts that the daemon and the gateway share."""
