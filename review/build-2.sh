#!/usr/bin/env bash
# Builds the stand-ins of the second review: Python without dependencies, so
# that they are only compiled, and the settings of a node are checked.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in stand2.py {6,7,8,9,10}/case.py; do
  if [ -e "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
  fi
done
