#!/bin/sh
# The stand-ins are Python and need only its standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q stand_ins.py */case.py
