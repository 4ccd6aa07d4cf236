"""Decides which jobs a host accepts, and when the callers of the others come back."""
