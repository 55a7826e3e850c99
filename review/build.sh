#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and use its standard library only,
# so that this checks the version and compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d ../target/deps/marjoramstep_daemon || {
  echo "run the build of the deploy file first: bash deploy/build" >&2
  exit 2
}
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PY
