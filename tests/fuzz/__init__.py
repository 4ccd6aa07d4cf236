"""Tests of decoders and hosts with malformed, truncated, huge, mistyped or newer input."""
