"""How jobs come into a shard: news of the job book, repetitions that fall due, changed terms."""
