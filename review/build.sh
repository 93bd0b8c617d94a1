#!/bin/sh
# Builds every stand-in that the cases start. They are Python files without dependencies: compiled, and imported once.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the deploy file's build first"; exit 2; }
.venv/bin/python -m compileall -q review && .venv/bin/python -B -c 'import sys; sys.path.insert(0, "review"); import play'
