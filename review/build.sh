#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library, so nothing is compiled:
# this checks that they can run here.
set -e
cd "$(dirname "$0")"
python3 - common/deployment.py */case.py <<'CHECK'
import sys
import tomllib  # Python 3.11 or later
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
