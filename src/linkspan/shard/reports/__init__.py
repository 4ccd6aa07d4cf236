"""What executors say: runs found, missing and ended, and which executors are there."""
