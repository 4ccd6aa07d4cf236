"""Infrastructure that the gateway and the scheduler daemon share."""
