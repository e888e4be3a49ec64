#!/usr/bin/env bash
# Build the stand-ins that the scripts start: they need the standard library alone, so
# this checks that Python can compile them.  The daemons are built by deploy/build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lab.py ./*/case.py
