"""The operators' configuration: its document, its checks and its versions."""
