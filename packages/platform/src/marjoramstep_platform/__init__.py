"""Adapter between marjoramstep and the platform on which it is deployed.

The platform's backend servers send heartbeats to the node on their VM. Its operators
write configurations, and it polls whether a node is ready.

Importing this package registers the adapter.
"""

from __future__ import annotations

from .adapter import PlatformAdapter


__all__ = ["PlatformAdapter"]
