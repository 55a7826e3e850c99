"""Runs the daemon as ``python -m marjoramstep_daemon``."""

from __future__ import annotations

from .main import main


if __name__ == "__main__":
    main()
