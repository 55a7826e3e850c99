"""Distinct types for identifiers; the type checker rejects one used as another."""

from __future__ import annotations

from typing import NewType


NodeId = NewType("NodeId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
ZoneName = NewType("ZoneName", str)
RequestKey = NewType("RequestKey", str)
RootId = NewType("RootId", str)
RowName = NewType("RowName", str)
TableVersion = NewType("TableVersion", int)
EditKey = NewType("EditKey", str)
OperatorName = NewType("OperatorName", str)
ReplicaId = NewType("ReplicaId", str)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
StreamId = NewType("StreamId", int)
AttemptId = NewType("AttemptId", str)
Fingerprint = NewType("Fingerprint", str)
