#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: their stand-ins are
# Python programs, which are only checked here.  The gateway itself comes from
# the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for f in case_platform.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    if [ -f "$f" ]; then
        /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
    fi
done
