#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python files that use the standard library
# alone, so it only checks that they and the programs of the deploy file can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "build the deploy file first: target/deps is missing" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path("review").glob("common-2/*.py")):
    ast.parse(path.read_text(), str(path))
for number in range(6, 11):
    for path in pathlib.Path(f"review/{number}").glob("*.py"):
        ast.parse(path.read_text(), str(path))
PYTHON
