#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8. They are written in Python and need
# nothing but what the deploy file's build puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c 'import aiohttp, orjson, yaml' || exit 2
python3 -m py_compile review/standins-2/lab.py review/[4-8]/case.py
