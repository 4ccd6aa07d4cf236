"""Which tasks start now, where and in what order, and which runs move or get a copy."""
