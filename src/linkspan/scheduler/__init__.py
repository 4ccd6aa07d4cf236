"""The scheduler: a core that decides without I/O, and the daemon that runs it."""
