"""Records of a shard's progress, and how a new owner restores the shard's state from them."""
