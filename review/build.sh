#!/bin/sh
# The stand-ins are Python and need no build: this checks that they compile. The scripts start
# nothing else but target/platform/fuchsia-edge, which the build of deploy/system.toml makes.
set -e
cd "$(dirname "$0")"
for it in standins.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$it"
done
