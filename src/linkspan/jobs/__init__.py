"""Jobs as graphs of steps: their description, their records and their state."""
