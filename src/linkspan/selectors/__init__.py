"""The selector language for conditions on the labels of workers and tasks."""
