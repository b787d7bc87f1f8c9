#!/bin/sh
# Checks that the stand-ins of the scripts can be read: they need the standard library
# only, and the gateways come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness.py review/runner_process.py review/[1-3]/case.py; do
    python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
