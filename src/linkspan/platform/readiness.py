"""Where the platform's balancer asks whether a host takes connections."""

READINESS_PATH = "/api/readiness"
