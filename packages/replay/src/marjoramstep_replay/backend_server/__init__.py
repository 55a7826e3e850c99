"""Stand-in backend server for replays and tests."""

from __future__ import annotations
