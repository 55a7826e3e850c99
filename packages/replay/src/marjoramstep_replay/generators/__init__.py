"""Generators of deployments, traces and stated outcomes."""

from __future__ import annotations

from .generate import GenerateOptions
from .generate import generate


__all__ = ["GenerateOptions", "generate"]
