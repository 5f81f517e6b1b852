#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library; this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
print("stand-ins are ready, python", sys.version.split()[0])
P
