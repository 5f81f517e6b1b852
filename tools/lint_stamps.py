#!/usr/bin/env python3
"""Prints a line "STAMP FILE" for each compiled source file of the project, and writes the compile commands for the linter.

The stamp covers the file, the project's headers that it includes, its compile command and the linter's settings, so that a
changed header makes the linter read only the files that include it.
"""
import hashlib
import json
import pathlib
import re
import subprocess
import sys


def dependencies(build):
    """Returns for each object file the files that its last compilation read."""
    text = subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True, text=True, check=True).stdout
    result = {}
    current = None
    for line in text.splitlines():
        if line and not line.startswith(" "):
            current = result.setdefault(line.split(":")[0], [])
        elif line.strip():
            current.append(line.strip())
    return result


def commands_without_precompiled_headers(build):
    """Returns the compile commands with <utility>, which some headers need, in the place of the precompiled headers."""
    commands = json.loads((build / "compile_commands.json").read_text())
    for command in commands:
        command["command"] = re.sub(r"-Winvalid-pch -include \S+/cmake_pch\.hxx", "-include utility", command["command"]).replace(" -fpch-preprocess", "")
    return commands


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    root = pathlib.Path.cwd().resolve()
    read_by = dependencies(build)
    settings = (root / ".clang-tidy").read_bytes()
    digests = {}

    def digest(path):
        if path not in digests:
            digests[path] = hashlib.sha1(path.read_bytes()).digest()
        return digests[path]

    commands = commands_without_precompiled_headers(build)
    (pathlib.Path(sys.argv[2]) / "compile_commands.json").write_text(json.dumps(commands, indent=1))
    for command in commands:
        source = pathlib.Path(command["file"])
        if root not in source.parents or build in source.parents:
            continue
        target = command["output"] if "output" in command else command["command"].split(" -o ")[1].split(" ")[0]
        stamp = hashlib.sha1(settings + command["command"].replace(str(root), "").encode())
        for name in sorted(read_by.get(target, [])):
            path = (build / name).resolve()
            if root in path.parents and build not in path.parents:
                stamp.update(str(path.relative_to(root)).encode() + digest(path))
        stamp.update(digest(source))
        print(stamp.hexdigest(), source.relative_to(root))


if __name__ == "__main__":
    main()
