#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python sources without
# dependencies beyond the standard library, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 - lab2 6 7 8 9 10 <<'PY'
import ast
import pathlib
import sys

for folder in sys.argv[1:]:
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        ast.parse(path.read_text(), str(path))
        print(f'checked {path}')
PY
