#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs of the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-2/*.py review/{6,7,8,9,10}/*.py tests/platform/platform_standin.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
