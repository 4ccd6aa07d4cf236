"""Request routing: assigns callers' requests to executors within slot and deadline limits."""
