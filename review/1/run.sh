#!/usr/bin/env bash
cd "$(dirname "$0")"
export PYTHONPATH="$PWD/.." PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
