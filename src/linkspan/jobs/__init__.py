"""Jobs as graphs of steps: specification, stored records and state."""
