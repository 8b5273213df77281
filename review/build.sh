#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in [pathlib.Path('stand.py'), *sorted(pathlib.Path('.').glob('[1-5]/case.py'))]:
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
    print('checked', path)
PY
