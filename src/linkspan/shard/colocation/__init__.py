"""Interference of best-effort work with colocated standing tasks, and the pace that limits it."""
