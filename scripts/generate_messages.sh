#!/bin/sh
# Regenerates the committed gRPC code from messages.proto. Requires
# grpcio-tools, which is not a dependency of the package because the build does
# not generate code.
set -eu
cd "$(dirname "$0")/.."
python -m grpc_tools.protoc -I. \
    --python_out=. --pyi_out=. --grpclib_python_out=. \
    copperyard/messages.proto
