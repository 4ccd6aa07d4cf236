"""Planning: which tasks start now, where and in what order, and which runs are moved or copied."""
