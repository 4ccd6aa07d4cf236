"""The platform's log as the product uses it: partitions, appends, tails."""
