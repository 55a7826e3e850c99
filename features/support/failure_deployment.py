"""What the steps on failures know of the deployment that they share."""

from __future__ import annotations


ENTRY_NODE = "node-gate-1"
DOWNLOAD_BYTES = 20_000_000
