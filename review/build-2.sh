#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs that use
# the standard library only, so that there is nothing to compile: this checks
# that each of them can be read by the interpreter that runs them.
set -e
cd "$(dirname "$0")"
python3 - lab2_*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
PYTHON
echo "stand-ins of the cases 6 to 10 are ready"
