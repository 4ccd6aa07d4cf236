"""What the operator writes to the store: the configuration and the evacuations of halls."""
