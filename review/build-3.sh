#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python programs, which need no build; this checks that
# they can be read.
set -eu
cd "$(dirname "$0")"
for file in support-3/*.py [0-9]*/case.py ../tests/platform/platform_standin.py ../tests/platform/restorable_store.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
