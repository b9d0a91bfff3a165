#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are Python 3
# programs that use the standard library only (review/lib/world.py), so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("checked", path)
PY
