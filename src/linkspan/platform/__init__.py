"""Adapter to the platform: wire names, formats and calls, without any decisions."""
