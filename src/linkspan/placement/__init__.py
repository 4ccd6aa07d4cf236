"""Placement of tasks on workers: feasibility, queue order, policies and learned models."""
