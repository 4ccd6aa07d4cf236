"""The host daemon: serves callers, follows the job records and takes part in shard ownership."""
