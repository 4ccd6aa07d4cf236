"""Path at which the platform's load balancer checks whether a host accepts connections."""

READINESS_PATH = "/api/readiness"
