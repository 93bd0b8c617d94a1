#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: their stand-ins are Python and need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the deploy file's build first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review/stand2
