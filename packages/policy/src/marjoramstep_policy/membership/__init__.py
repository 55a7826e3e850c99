"""A node's view of the members of the services that it calls."""

from __future__ import annotations

from .membership_view import MembershipView


__all__ = ["MembershipView"]
