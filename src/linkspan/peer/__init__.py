"""The peer protocol: framed Cap'n Proto messages between linkspan processes."""
