"""Input that is malformed, cut, huge, of the wrong type or from a newer version."""
