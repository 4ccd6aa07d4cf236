#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13: byte code only, they are Python without dependencies
# of their own. What they import is in target/deps, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c 'import aiohttp, yaml'
python3 -m compileall -q review/standins-3
