"""Data types that the other packages share."""
