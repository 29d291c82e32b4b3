#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15: one Python file that needs the standard library alone.
# It is compiled, so that an error shows here and not in a case.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in ["review/standins_3.py"]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
echo "the stand-ins of the cases 11 to 15 are ready"
