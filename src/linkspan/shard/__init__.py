"""The owner of a shard: state and decisions for the executors and jobs of one hall."""
