"""Adapter between marjoramstep and the platform on which it is deployed.

Importing this package registers the adapter.
"""

from __future__ import annotations

from .adapter import PlatformAdapter


__all__ = ["PlatformAdapter"]
