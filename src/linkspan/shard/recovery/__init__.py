"""Records of progress, and how a new owner learns from them what its predecessor left."""
