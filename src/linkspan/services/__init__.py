"""Services that the gateway and the scheduler use: ports, messages and HTTP clients."""
