#!/usr/bin/env bash
# Generates the message classes and their type stub from messages.thrift.
# Needs the thrift compiler 0.17 or newer; the result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -r "$out"' EXIT
thrift --gen py:slots -out "$out" src/marjoramstep_wire/messages.thrift
cp "$out"/marjoramstep_wire/generated/*.py src/marjoramstep_wire/generated/
python tools/make_stub.py > src/marjoramstep_wire/generated/ttypes.pyi
