"""Replicated state machine of the control replicas, and registry of backend servers."""

from __future__ import annotations

from .command import COMMANDS
from .commands import decode_command
from .commands import encode_command
from .errors import InvalidCommandError
from .errors import InvalidSnapshotError
from .limits import StateLimits
from .machine import StateMachine
from .membership.registry import MembershipRegistry


__all__ = [
    "COMMANDS",
    "InvalidCommandError",
    "InvalidSnapshotError",
    "MembershipRegistry",
    "StateLimits",
    "StateMachine",
    "decode_command",
    "encode_command",
]
