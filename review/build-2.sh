#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 and later start. They are Python files
# that need the standard library only, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for folder in lib-2 6 7 8 9 10; do
  if [ -d "$folder" ]; then
    python3 -m compileall -q "$folder"
  fi
done
