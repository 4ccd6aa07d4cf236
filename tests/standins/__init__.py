"""Stand-ins for the platform's services, workers and executors."""
