"""Sends orders to executors and applies their answers."""
