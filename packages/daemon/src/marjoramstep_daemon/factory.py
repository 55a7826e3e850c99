"""Creates the components of a node and connects them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from marjoramstep_core.ids import NodeId
from marjoramstep_core.ids import ServiceName
from marjoramstep_core.ids import ZoneName
from marjoramstep_core.states import ConnectionClass
from marjoramstep_core.states import Role
from marjoramstep_policy.admission import ADMISSION_VARIANTS
from marjoramstep_policy.admission import CIRCUIT_BREAKERS
from marjoramstep_policy.admission import ROOT_THROTTLES
from marjoramstep_policy.admission import SIZE_CLASSIFIERS
from marjoramstep_policy.membership import MembershipView
from marjoramstep_policy.pressure import BACKPRESSURE_VARIANTS
from marjoramstep_policy.quarantine import QuarantineList
from marjoramstep_policy.retries import RESEND_TRACKERS
from marjoramstep_policy.retries import RETRY_ALLOWANCES
from marjoramstep_policy.retries import SERVICE_RETRY_BUDGETS
from marjoramstep_policy.routing import ROUTERS
from marjoramstep_wire.handshake import make_hello

from . import disabled_decisions as decisions
from .adapter import load_adapter
from .backend_servers.admission_gate import AdmissionGate
from .backend_servers.at_most_once_runner import AtMostOnceRunner
from .backend_servers.call_executor import CallExecutor
from .backend_servers.crash_reporter import CrashReporter
from .backend_servers.in_flight import InFlightMap
from .backend_servers.local_server import LocalServer
from .backend_servers.server_circuit_breaker import ServerCircuitBreaker
from .backpressure_tracker import BackpressureTracker
from .callers.dispatcher import Dispatcher
from .callers.entry import EntryService
from .callers.listener import CallerListener
from .callers.membership_subscriber import MembershipSubscriber
from .callers.not_run_verifier import NotRunVerifier
from .callers.subscription_prefetcher import SubscriptionPrefetcher
from .control.control_client import ControlClient
from .control.quarantine_client import QuarantineClient
from .control.services_in_use import ServicesInUse
from .control.table_store import TableStore
from .metrics import NodeMetrics
from .node import Node
from .nodes.link_pool import LinkPool
from .request_progress import ProgressTracker


if TYPE_CHECKING:
    from marjoramstep_core.clock import Clock
    from marjoramstep_core.ids import RequestKey
    from marjoramstep_policy.routing import Router
    from marjoramstep_wire.messages import Hello

    from .log import EventLog
    from .settings import Settings

# Used until the backend server has announced its number of slots.
INITIAL_SLOTS = 1


class NodeFactory:
    """Builds a node from its settings.

    :param settings: checked settings with the role ``node``
    :param clock: clock of the process
    :param log: event log
    """

    def __init__(self, settings: Settings, clock: Clock, log: EventLog) -> None:
        assert settings.node is not None
        self._settings = settings
        self._node_settings = settings.node
        self._clock = clock
        self._log = log
        self._node_id = NodeId(settings.process_id)
        self._zone = ZoneName(settings.zone)
        self._tables = TableStore(clock, log)
        self._metrics = NodeMetrics()
        self._in_flight = InFlightMap(RETRY_ALLOWANCES.get(self._allowance_variant()))
        self._adapter = load_adapter(settings.adapter)
        self._backpressure = BackpressureTracker(
            BACKPRESSURE_VARIANTS.get(
                self._variant(decisions.BACKPRESSURE, "reported", "ignored")
            )(clock)
        )
        self._size_classifier = SIZE_CLASSIFIERS.get(
            self._variant(decisions.SIZE_CLASSES, "learned", "stated")
        )()

    def build(self) -> Node:
        """Create a node.

        :return: the node, not yet started
        """
        quarantine = QuarantineClient(QuarantineList(self._clock), self._log)
        protocol = self._adapter.backend_protocol()
        local_server = LocalServer(
            self._clock,
            self._node_id,
            protocol,
            self._node_settings.announce_timeout_ms,
        )
        local_server.known_services = ServicesInUse(
            self._tables, ServiceName(self._node_settings.backend_service)
        )
        local_server.on_answer_skipped = self._log_skipped_answer
        gate = self._build_gate()
        links = self._build_links()
        router = ROUTERS.get(self._variant(decisions.ROUTING, "zone-first", "uniform"))(
            self._clock, random.Random(), self._zone
        )
        subscriber = MembershipSubscriber(
            self._clock, MembershipView(), router, links, self._log
        )
        prefetcher = SubscriptionPrefetcher(subscriber.subscribe)
        self._tables.table_observers.append(prefetcher.on_table)
        control = self._build_control(quarantine, local_server, subscriber)
        at_most_once_runner = AtMostOnceRunner(
            self._clock, self._node_id, control.claims, self._log
        )
        call_executor = CallExecutor(
            self._clock,
            local_server,
            gate,
            self._in_flight,
            at_most_once_runner,
            quarantine,
            CrashReporter(self._clock, self._node_id, quarantine),
            self._backpressure,
            self._metrics,
            self._log,
            # An ``open`` throttle admits every root request.
            ROOT_THROTTLES.get(
                self._variant(decisions.BACKPRESSURE, "adaptive", "open")
            )(self._clock, random.Random()),
            self._build_circuit_breaker(local_server),
            protocol,
        )
        tracker = ProgressTracker(self._clock)
        not_run_verifier = NotRunVerifier(self._clock, control.claims, self._metrics)
        entry = self._build_entry(
            subscriber, router, links, call_executor, not_run_verifier
        )
        return Node(
            settings=self._settings,
            node_settings=self._node_settings,
            zone=self._zone,
            clock=self._clock,
            log=self._log,
            tables=self._tables,
            local_server=local_server,
            gate=gate,
            in_flight=self._in_flight,
            at_most_once_runner=at_most_once_runner,
            call_executor=call_executor,
            entry=entry,
            listener=CallerListener(
                entry,
                self._tables,
                self._log,
                self._adapter.caller_protocol(
                    self._settings, local_server, self._in_flight
                ),
                tracker,
            ),
            adapter=self._adapter,
            links=links,
            control=control,
            metrics=self._metrics,
            quarantine=quarantine,
            tracker=tracker,
        )

    def _log_skipped_answer(self, request_key: RequestKey, status: int) -> None:
        self._metrics.count_event("answer skipped")
        self._log.write_decision(
            "answer of another request skipped",
            request_key,
            step="send to backend server",
            status=status,
        )

    def _build_gate(self) -> AdmissionGate:
        controller = ADMISSION_VARIANTS.get(self._admission_variant())
        return AdmissionGate(self._clock, controller(self._clock, INITIAL_SLOTS))

    def _build_circuit_breaker(self, local_server: LocalServer) -> ServerCircuitBreaker:
        # A breaker that is always ``closed`` sends every call.
        variant = self._variant(decisions.ADMISSION, "breaker", "closed")
        breaker = CIRCUIT_BREAKERS.get(variant)(self._clock, random.Random())
        return ServerCircuitBreaker(breaker, local_server, self._log)

    def _build_links(self) -> LinkPool:
        return LinkPool(
            self._settings.deployment_key,
            self._make_hello,
            self._clock,
            lambda: self._tables.version,
            self._tables.record_version,
            self._log,
        )

    def _build_control(
        self,
        quarantine: QuarantineClient,
        local_server: LocalServer,
        subscriber: MembershipSubscriber,
    ) -> ControlClient:
        control = ControlClient(
            self._settings.control_addresses,
            self._settings.deployment_key,
            self._make_hello,
            self._clock,
            self._tables,
            quarantine,
            lambda: local_server.to_member(self._zone),
            subscriber.on_update,
            self._log,
        )
        subscriber.watch = control.watch
        subscriber.unwatch = control.unwatch
        return control

    def _build_entry(
        self,
        subscriber: MembershipSubscriber,
        router: Router,
        links: LinkPool,
        call_executor: CallExecutor,
        not_run_verifier: NotRunVerifier,
    ) -> EntryService:
        budget = SERVICE_RETRY_BUDGETS.get(
            self._variant(decisions.RETRY_BOUND, "share", "unlimited")
        )(self._clock)
        resend_tracker = RESEND_TRACKERS.get(
            self._variant(decisions.RETRY_BOUND, "counted", "uncounted")
        )(self._clock, allowance=self._allowance_variant())
        dispatcher = Dispatcher(
            self._clock,
            self._node_id,
            subscriber,
            router,
            budget,
            links,
            call_executor,
            self._backpressure,
            self._size_classifier,
            self._metrics,
            self._log,
        )
        return EntryService(
            self._clock,
            self._tables,
            self._in_flight,
            resend_tracker,
            self._backpressure,
            self._size_classifier,
            dispatcher,
            RETRY_ALLOWANCES.get(self._allowance_variant()),
            self._metrics,
            not_run_verifier,
            self._log,
        )

    def _admission_variant(self) -> str:
        # With size classes disabled no slots are reserved for short calls, even if rows
        # state ``long``: such rows would otherwise still be limited in the baseline.
        # The adaptive limit is not used: after a slowdown of 7.5 s it stays low, and
        # goodput does not recover within 5 s.
        # ``fixed-limit``: the limit is fixed at the announced slots, some of which are
        # reserved for short calls. ``unlimited-long``: long calls may use all slots.
        # ``fixed``: calls start in order of arrival, the queue is unbounded.
        enabled = self._variant(decisions.SIZE_CLASSES, "fixed-limit", "unlimited-long")
        return self._variant(decisions.ADMISSION, enabled, "fixed")

    def _allowance_variant(self) -> str:
        return self._variant(decisions.RETRY_BOUND, "tokens", "per-hop")

    def _variant(self, decision: str, enabled: str, disabled: str) -> str:
        is_disabled = decision in self._node_settings.disabled_decisions
        return disabled if is_disabled else enabled

    def _make_hello(self, connection_class: ConnectionClass) -> Hello:
        return make_hello(
            self._node_id,
            Role.NODE,
            self._zone,
            self._tables.version,
            connection_class,
        )
