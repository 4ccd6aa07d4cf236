"""Orders to executors, and what their answers mean."""
