"""Generated message classes and their frame type codes.

The codes are part of the protocol; a code is never reused for another message.
"""

from __future__ import annotations

from typing import Any

from .generated.ttypes import AnswerStart
from .generated.ttypes import AppendReply
from .generated.ttypes import AppendRequest
from .generated.ttypes import BodyPart
from .generated.ttypes import CallFailed
from .generated.ttypes import CallStart
from .generated.ttypes import Cancel
from .generated.ttypes import CancelReply
from .generated.ttypes import ClaimEnd
from .generated.ttypes import ClaimLookup
from .generated.ttypes import ClaimReply
from .generated.ttypes import ClaimRequest
from .generated.ttypes import Credit
from .generated.ttypes import Header
from .generated.ttypes import Hello
from .generated.ttypes import HelloProof
from .generated.ttypes import JoinReply
from .generated.ttypes import JoinRequest
from .generated.ttypes import LoadReport
from .generated.ttypes import LogEntry
from .generated.ttypes import Member
from .generated.ttypes import MemberUpdate
from .generated.ttypes import Ping
from .generated.ttypes import Pong
from .generated.ttypes import QuarantineNotice
from .generated.ttypes import QuarantineReport
from .generated.ttypes import Refusal
from .generated.ttypes import RegisterReply
from .generated.ttypes import RegisterServer
from .generated.ttypes import ReplicaList
from .generated.ttypes import ServicePressure
from .generated.ttypes import SnapshotPart
from .generated.ttypes import SnapshotReply
from .generated.ttypes import StoredAnswer
from .generated.ttypes import TableGet
from .generated.ttypes import TableNotice
from .generated.ttypes import TableReply
from .generated.ttypes import VoteReply
from .generated.ttypes import VoteRequest
from .generated.ttypes import WatchService


# A generated struct; the generator writes no type annotations.
Message = Any

MESSAGE_TYPES: dict[int, type[Message]] = {
    1: Hello,
    2: HelloProof,
    3: Ping,
    4: Pong,
    10: CallStart,
    11: BodyPart,
    12: Credit,
    13: AnswerStart,
    14: Refusal,
    15: CallFailed,
    16: Cancel,
    17: CancelReply,
    30: TableGet,
    31: TableReply,
    32: TableNotice,
    33: ReplicaList,
    40: RegisterServer,
    41: RegisterReply,
    42: WatchService,
    43: MemberUpdate,
    50: ClaimRequest,
    51: ClaimReply,
    52: ClaimEnd,
    54: ClaimLookup,
    60: QuarantineReport,
    61: QuarantineNotice,
    70: VoteRequest,
    71: VoteReply,
    72: AppendRequest,
    73: AppendReply,
    74: SnapshotPart,
    75: SnapshotReply,
    76: JoinRequest,
    77: JoinReply,
}
TYPE_CODES: dict[type[Message], int] = {
    message_type: code for code, message_type in MESSAGE_TYPES.items()
}

__all__ = [
    "MESSAGE_TYPES",
    "TYPE_CODES",
    "AnswerStart",
    "AppendReply",
    "AppendRequest",
    "BodyPart",
    "CallFailed",
    "CallStart",
    "Cancel",
    "CancelReply",
    "ClaimEnd",
    "ClaimLookup",
    "ClaimReply",
    "ClaimRequest",
    "Credit",
    "Header",
    "Hello",
    "HelloProof",
    "JoinReply",
    "JoinRequest",
    "LoadReport",
    "LogEntry",
    "Member",
    "MemberUpdate",
    "Message",
    "Ping",
    "Pong",
    "QuarantineNotice",
    "QuarantineReport",
    "Refusal",
    "RegisterReply",
    "RegisterServer",
    "ReplicaList",
    "ServicePressure",
    "SnapshotPart",
    "SnapshotReply",
    "StoredAnswer",
    "TableGet",
    "TableNotice",
    "TableReply",
    "VoteReply",
    "VoteRequest",
    "WatchService",
]
