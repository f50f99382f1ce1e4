#!/bin/sh
# Builds what the cases start besides the programs of the deploy file. The stand-ins are Python 3.11 with its
# standard library alone, so nothing has to be compiled: this checks that they are whole.
set -e
cd "$(dirname "$0")"
python3 -B - lib/*.py [1-9]/*.py <<'CHECK'
import ast, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
