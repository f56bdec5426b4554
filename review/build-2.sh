#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are Python: there is nothing to compile.
# Checks that they can be parsed and that the deploy file's build is there.
set -eu
cd "$(dirname "$0")/.."
python3 - review/common-2/*.py review/[4-8]/case.py <<'PY'
import ast
import sys
from pathlib import Path

for name in sys.argv[1:]:
    ast.parse(Path(name).read_text(), name)
PY
test -d target/deps || {
  echo 'run the line "build" of deploy/system.toml first' >&2
  exit 1
}
