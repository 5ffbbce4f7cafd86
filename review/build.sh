#!/bin/bash
# The stand-ins are Python scripts, of this folder and of tests/: nothing is
# compiled.  This checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
for f in review/*.py review/*/*.py tests/cluster.py tests/fake_platform.py \
    tests/standin.py; do
    /usr/bin/python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$f" || exit 1
done
