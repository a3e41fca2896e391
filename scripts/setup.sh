#!/bin/sh
# Creates a virtual environment and installs the locked dependencies and the
# package into it. COPPERYARD_VENV sets its directory, `.venv` by default.
set -eu
cd "$(dirname "$0")/.."
venv=${COPPERYARD_VENV:-.venv}
[ -x "$venv/bin/python" ] || python3 -m venv "$venv"
"$venv/bin/python" -m pip install -qq --disable-pip-version-check \
    --requirement requirements.lock
"$venv/bin/python" -m pip install -qq --disable-pip-version-check \
    --no-deps --editable .
echo "ready: $venv"
