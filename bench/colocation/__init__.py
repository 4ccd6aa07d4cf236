"""A hall whose standing tasks are disturbed by best-effort work, to compare ways of sharing."""
