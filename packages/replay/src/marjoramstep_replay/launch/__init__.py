"""Starts the processes of a deployment on loopback and ends them by id."""

from __future__ import annotations

from .cluster import Cluster
from .process import ManagedProcess


__all__ = ["Cluster", "ManagedProcess"]
