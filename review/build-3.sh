#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs of the standard library; this checks that they load.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, glob
for name in sorted(glob.glob("standins3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
