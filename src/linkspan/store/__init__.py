"""Access to the platform's log store: exactly-once appends, followers and key snapshots."""
