"""Moves jobs to other halls, delegates standing tasks to them, and returns delegated tasks."""
