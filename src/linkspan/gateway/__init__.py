"""The gateway daemon: accepts callers' requests and jobs, and operators' commands."""
