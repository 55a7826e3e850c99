"""Calls that a node handles, their bodies and their replies."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason

from .request_progress import RequestProgress
from .request_progress import untracked_progress


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from marjoramstep_core.ids import Fingerprint
    from marjoramstep_core.ids import RequestKey
    from marjoramstep_core.ids import RootId
    from marjoramstep_core.ids import ServiceName
    from marjoramstep_core.states import SizeClass
    from marjoramstep_core.table import Row
    from marjoramstep_wire.messages import LoadReport

    from .upload import Upload

# Bodies up to this size are sent whole in the first message; longer ones are streamed.
INLINE_BODY_LIMIT_BYTES = 65_536
UNKNOWN_LENGTH = -1
SERVER_ERROR_STATUS = 500

HeaderList = list[tuple[str, str]]


@dataclass(slots=True)
class Body:
    """Body of a request or an answer.

    :param data: the whole body, or its first part if ``rest`` is set
    :param rest: the parts after ``data``; can be iterated once
    :param length: total length in bytes, or ``UNKNOWN_LENGTH``
    :param on_abandon: called when the rest will not be read
    :param upload: source of ``rest`` if the body may be read again from its start
    """

    data: bytes = b""
    rest: AsyncIterator[bytes] | None = None
    length: int = 0
    on_abandon: Callable[[], None] | None = None
    upload: Upload | None = None

    @property
    def can_restart(self) -> bool:
        """Whether the body can be sent again from its start."""
        return self.rest is None or (
            self.upload is not None and self.upload.can_restart
        )

    def restart(self) -> None:
        """Read the body again from its start.

        :raises ConnectionFailedError: if the first parts are no longer buffered
        """
        if self.upload is not None:
            self.rest = self.upload.open()

    @property
    def is_complete(self) -> bool:
        """Whether ``data`` is the whole body."""
        return self.rest is None

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body part by part.

        :raises MarjoramstepError: if the source fails before the end of the body
        """
        if self.data:
            yield self.data
        if self.rest is not None:
            async for part in self.rest:
                yield part

    def on_end(self, callback: Callable[[bool], None]) -> None:
        """Register a callback for the end of the body.

        It is called once, when the rest was read to its end, failed or was abandoned.

        :param callback: called with whether the rest was read to its end
        """
        if self.rest is None:
            callback(True)
            return
        source, abandon = self.rest, self.on_abandon
        called = False

        def finish(succeeded: bool) -> None:
            nonlocal called
            if not called:
                called = True
                callback(succeeded)

        async def parts() -> AsyncIterator[bytes]:
            succeeded = False
            try:
                async for part in source:
                    yield part
                succeeded = True
            finally:
                finish(succeeded)

        def on_abandon() -> None:
            if abandon is not None:
                abandon()
            finish(False)

        self.rest = parts()
        self.on_abandon = on_abandon

    def abandon(self) -> None:
        """Tell the source that the rest will not be read."""
        if self.on_abandon is not None:
            self.on_abandon()
            self.on_abandon = None


@dataclass(slots=True)
class Call:
    """One attempt at a call.

    :param deadline_ms: absolute time in milliseconds of the node's clock
    :param weight: weight of the root request
    :param depth: 0 for a root request
    :param retry_tokens: tokens that the callee may spend on its own sub-calls
    :param started: set immediately before the request is sent to the backend server
    :param reached_services: downstream services named in the replies to sub-calls
    :param made_sub_calls: whether its backend server made sub-calls for it
    :param shed_downstream: whether a sub-call ended because of a downstream overload;
        not set if a backend server itself refused the sub-call
    :param siblings_succeeded: whether other sub-calls of its parent have succeeded
    :param may_move_on: whether the serving node may refuse it at once if it would have
        to wait, since there are other servers to try
    :param is_repeat: whether an earlier send of it, or of a call above it, has reached
        a backend server; it counts as a retry at the service that is called
    :param runs_again: whether an earlier run of it, or of a call above it, may have
        made the sub-calls that its run makes
    :param withdrawn: set when the outcome was reported to the caller; a call that has
        not started by then must not be started
    :param progress: the step at which it waits
    """

    service: ServiceName
    method: str
    path: str
    headers: HeaderList
    body: Body
    request_key: RequestKey
    root_id: RootId
    row: Row
    weight: int
    depth: int
    deadline_ms: float
    retry_tokens: int
    size_class: SizeClass
    fingerprint: Fingerprint | None = None
    started: bool = False
    reached_services: set[str] = field(default_factory=set)
    withdrawn: bool = False
    progress: RequestProgress = field(default_factory=untracked_progress)
    made_sub_calls: bool = False
    shed_downstream: bool = False
    siblings_succeeded: bool = False
    may_move_on: bool = False
    is_repeat: bool = False
    runs_again: bool = False


@dataclass(slots=True)
class Answer:
    """Status and headers of an answer; the body may still be streaming.

    :param retry_tokens: unused retry tokens, returned to the sender of the call
    :param load: load of the node that replied
    :param reason: set if the stored answer has no body, or if the answer is a server
        error and a sub-call ended because of a downstream overload
    :param extra_headers: headers of this protocol for the caller
    """

    status: int
    headers: HeaderList
    body: Body
    retry_tokens: int = 0
    load: LoadReport | None = None
    outcome: Outcome = Outcome.DONE
    reason: Reason | None = None
    extra_headers: HeaderList = field(default_factory=list)


@dataclass(slots=True)
class Refused:
    """The call was not executed and will not be.

    :param detail: cause in words, for the log
    :param retry_tokens: unused retry tokens, returned to the sender of the call
    :param load: load of the node that replied
    :param retry_after_ms: time after which the caller may retry, 0 if not known
    :param reached_server: whether the backend server itself refused it
    """

    reason: Reason
    detail: str = ""
    retry_tokens: int = 0
    load: LoadReport | None = None
    retry_after_ms: float = 0.0
    reached_server: bool = False


@dataclass(slots=True)
class Failed:
    """The call may have been executed; its outcome is unknown.

    :param retry_tokens: unused retry tokens, returned to the sender of the call
    :param load: load of the node that replied
    :param crash_suspect: whether the backend server crashed while it ran the call
    """

    reason: Reason
    detail: str = ""
    retry_tokens: int = 0
    load: LoadReport | None = None
    crash_suspect: bool = False


Reply = Answer | Refused | Failed


class CallTarget(Protocol):
    """Executes calls at the local backend server."""

    async def execute(self, call: Call) -> Reply:
        """Execute a call.

        :param call: the call; its body is read at most once per attempt
        :return: exactly one reply
        """
