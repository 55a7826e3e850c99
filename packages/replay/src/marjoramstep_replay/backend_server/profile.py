"""Behaviour of a stand-in backend server, read from JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ..documents import Fields
from .service_time import SERVICE_TIMES


if TYPE_CHECKING:
    from .service_time import ServiceTime

DEFAULT_ANSWER_BYTES = 200


@dataclass(frozen=True)
class SubCall:
    """A further call that a request makes through the server's own node.

    :param service: called service
    :param method: HTTP method
    :param path: path; ``{n}`` is replaced with the number of the run
    :param body_bytes: length of the body
    :param retries: naive resends after an answer other than success
    :param backoff_ms: wait before each resend
    """

    service: str
    method: str
    path: str
    body_bytes: int
    retries: int
    backoff_ms: float

    @classmethod
    def from_json(cls, document: Any, where: str) -> SubCall:
        """Build a sub-call from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the sub-call
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        call = cls(
            fields.text("service"),
            fields.text("method", "GET"),
            fields.text("path"),
            fields.integer("body_bytes", 0),
            fields.integer("retries", 0),
            fields.number("backoff_ms", 20.0),
        )
        fields.finish()
        return call


@dataclass(frozen=True)
class PathProfile:
    """Behaviour for paths that start with a prefix.

    :param prefix: start of the path
    :param service_time: distribution of the own work's time
    :param answer_bytes: length of the answer's body
    :param calls: further calls, made after the own work while the slot is held
    :param is_parallel: whether the further calls are made at the same time
    """

    prefix: str
    service_time: ServiceTime
    answer_bytes: int
    calls: tuple[SubCall, ...]
    is_parallel: bool

    @classmethod
    def from_json(cls, document: Any, where: str) -> PathProfile:
        """Build the behaviour of one prefix from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the behaviour
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        time_fields = Fields(fields.raw("service_time"), f"{where}.service_time")
        service_time = SERVICE_TIMES.get(time_fields.text("kind"))(time_fields)
        time_fields.finish()
        profile = cls(
            fields.text("prefix"),
            service_time,
            fields.integer("answer_bytes", DEFAULT_ANSWER_BYTES),
            fields.list("calls", SubCall.from_json),
            fields.choice("mode", ("sequential", "parallel"), "sequential")
            == "parallel",
        )
        fields.finish()
        return profile


@dataclass(frozen=True)
class Slowdown:
    """A time in which service times are multiplied.

    :param at_ms: start, in milliseconds after the server's start
    :param duration_ms: length
    :param factor: multiplier of service times
    """

    at_ms: float
    duration_ms: float
    factor: float

    @classmethod
    def from_json(cls, document: Any, where: str) -> Slowdown:
        """Build a slowdown from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the slowdown
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        slowdown = cls(
            fields.number("at_ms"),
            fields.number("duration_ms"),
            fields.number("factor"),
        )
        fields.finish()
        return slowdown


@dataclass(frozen=True)
class Profile:
    """Whole behaviour of a stand-in backend server.

    :param paths: behaviour by prefix, longest prefix first
    :param slowdowns: scheduled slowdowns
    :param startup_ms: time in state ``starting`` before requests are accepted
    :param cold_ms: time after that in which service times fall to their normal value
    :param cold_factor: multiplier of service times at the start of that time
    :param crash_marker: text that crashes the process when a request's body, or its
        header ``Crash-Marker``, holds it; empty for none
    :param load_lag_ms: age of the reports on ``/load``
    :param drain_grace_ms: time after the start of a drain in which requests are still
        accepted
    """

    paths: tuple[PathProfile, ...]
    slowdowns: tuple[Slowdown, ...]
    startup_ms: float
    cold_ms: float
    cold_factor: float
    crash_marker: str
    load_lag_ms: float
    drain_grace_ms: float

    @classmethod
    def from_json(cls, document: Any, where: str = "profile") -> Profile:
        """Build a profile from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the profile
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        paths = fields.list("paths", PathProfile.from_json)
        if not any(path.prefix == "/" for path in paths):
            raise fields.error("paths must hold an entry for the prefix '/'")
        profile = cls(
            tuple(sorted(paths, key=lambda path: -len(path.prefix))),
            fields.list("slowdowns", Slowdown.from_json),
            fields.number("startup_ms", 0.0),
            fields.number("cold_ms", 0.0),
            fields.number("cold_factor", 1.0, 1.0),
            fields.text("crash_marker", ""),
            fields.number("load_lag_ms", 2000.0),
            fields.number("drain_grace_ms", 3000.0),
        )
        fields.finish()
        return profile

    def match(self, path: str) -> PathProfile:
        """Return the behaviour for a path.

        :param path: path of the request
        :return: the entry with the longest prefix
        """
        return next(entry for entry in self.paths if path.startswith(entry.prefix))
