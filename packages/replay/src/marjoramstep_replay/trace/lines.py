"""Lines of a trace."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from ..documents import Fields

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


@unique
class FaultAction(Enum):
    """What a fault line does to its target."""

    SLOW = "slow"
    CRASH = "crash"
    STOP = "stop"
    CONTINUE = "continue"
    DRAIN = "drain"
    START = "start"


@dataclass(frozen=True)
class TraceRequest:
    """One request of a trace.

    :param at_ms: time of sending, in milliseconds after the start of the replay
    :param caller: name of the caller; decides the node that it speaks to
    :param service: called service
    :param method: HTTP method
    :param path: path with its query
    :param headers: further headers
    :param body: text of the body, used when ``body_bytes`` is 0
    :param body_bytes: length of a generated body
    :param key: part of the request key; lines with an equal key are one request that
        its caller sends again; empty for a key of its own
    :param retries: resends by the client after an outcome other than done
    :param backoff_ms: wait before each resend
    :param timeout_ms: time after which the client gives an attempt up; 0 for the
        deadline of the request's row
    :param group: name under which stated outcomes refer to the request
    """

    at_ms: float
    caller: str
    service: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: str = ""
    body_bytes: int = 0
    key: str = ""
    retries: int = 0
    backoff_ms: float = 100.0
    timeout_ms: float = 0.0
    group: str = "default"

    @classmethod
    def from_fields(cls, fields: Fields) -> TraceRequest:
        """Build a request from the fields of a line.

        :param fields: the fields
        :return: the request
        :raises InvalidInputError: if a field is not valid
        """
        request = cls(
            at_ms=fields.number("at_ms"),
            caller=fields.text("caller"),
            service=fields.text("service"),
            method=fields.choice("method", METHODS, "GET"),
            path=fields.text("path"),
            headers=fields.texts("headers"),
            body=fields.text("body", ""),
            body_bytes=fields.integer("body_bytes", 0),
            key=fields.text("key", ""),
            retries=fields.integer("retries", 0),
            backoff_ms=fields.number("backoff_ms", 100.0),
            timeout_ms=fields.number("timeout_ms", 0.0),
            group=fields.text("group", "default"),
        )
        if not request.path.startswith("/"):
            raise fields.error(f"path must start with '/', found {request.path!r}")
        if request.body and request.body_bytes:
            raise fields.error("body and body_bytes exclude each other")
        return request

    def to_json(self) -> dict[str, Any]:
        """Return the line as JSON values, without fields that hold their default.

        :return: the fields
        """
        document: dict[str, Any] = {
            "at_ms": round(self.at_ms, 3),
            "caller": self.caller,
            "service": self.service,
            "method": self.method,
            "path": self.path,
        }
        defaults = TraceRequest(0, "", "", "", "")
        names = ("headers", "body", "body_bytes", "key", "retries", "backoff_ms")
        for name in (*names, "timeout_ms", "group"):
            if getattr(self, name) != getattr(defaults, name):
                document[name] = getattr(self, name)
        return document


@dataclass(frozen=True)
class TraceFault:
    """One fault of a trace.

    :param at_ms: time, in milliseconds after the start of the replay
    :param target: name of a process of the deployment
    :param action: what happens
    :param factor: multiplier of service times, for ``slow``
    :param duration_ms: length, for ``slow``
    """

    at_ms: float
    target: str
    action: FaultAction
    factor: float = 1.0
    duration_ms: float = 0.0

    @property
    def end_ms(self) -> float:
        """Time at which the fault is over; for lasting faults its start."""
        return self.at_ms + self.duration_ms

    @classmethod
    def from_fields(cls, fields: Fields) -> TraceFault:
        """Build a fault from the fields of a line.

        :param fields: the fields
        :return: the fault
        :raises InvalidInputError: if a field is not valid
        """
        actions = tuple(action.value for action in FaultAction)
        action = FaultAction(fields.choice("fault", actions, ""))
        slow = action is FaultAction.SLOW
        return cls(
            at_ms=fields.number("at_ms"),
            target=fields.text("target"),
            action=action,
            factor=fields.number("factor", None if slow else 1.0),
            duration_ms=fields.number("duration_ms", None if slow else 0.0),
        )

    def to_json(self) -> dict[str, Any]:
        """Return the line as JSON values.

        :return: the fields
        """
        document: dict[str, Any] = {
            "at_ms": round(self.at_ms, 3),
            "fault": self.action.value,
            "target": self.target,
        }
        if self.action is FaultAction.SLOW:
            document["factor"] = self.factor
            document["duration_ms"] = self.duration_ms
        return document
