"""Moves jobs to other halls, delegates tasks to them, and returns delegated tasks."""
