"""Commands of the command line, by what they need: a gateway or log files."""
