"""A node's view of the members of services, and the replicas that keep them."""

from __future__ import annotations

from .membership_view import MembershipView
from .placement import choose_replicas


__all__ = ["MembershipView", "choose_replicas"]
