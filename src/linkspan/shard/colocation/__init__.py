"""What best-effort work does to standing tasks beside it, and how much they still bear."""
