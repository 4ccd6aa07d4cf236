#!/bin/sh
# Builds the stand-ins: they need the standard library of Python 3.11 alone and run within the
# scripts' own process, so there is nothing to fetch.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins 1 2 3
