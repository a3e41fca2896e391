#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: compiles their modules. They need
# nothing but the standard library. Python 3.11 or newer, as the entry.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q tests/__init__.py tests/http_client.py tests/standins \
    review/harness_2.py review/crowd_2.py review/platform_2.py \
    review/chunks_2.py review/6 review/7 review/8 review/9
