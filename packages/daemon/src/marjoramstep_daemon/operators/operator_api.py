"""HTTP interface of a replica for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import MarjoramstepError
from marjoramstep_core.errors import UnavailableError
from marjoramstep_core.ids import EditKey
from marjoramstep_core.ids import OperatorName
from marjoramstep_core.ids import ReplicaId
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import EditOperation
from marjoramstep_state.commands import RecordReplicaChange
from marjoramstep_state.commands import ReplicaAction
from marjoramstep_state.commands import ReplicaChangeVerdict
from marjoramstep_state.edit_commands import EditTable
from marjoramstep_state.results import EditResult
from marjoramstep_state.results import EditVerdict

from ..control.replicated_state import NotLeaderError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from marjoramstep_consensus.effects import Effect
    from marjoramstep_consensus.replica_core import ReplicaCore
    from marjoramstep_state import MembershipRegistry
    from marjoramstep_state.command import Command

    from ..control.replica import Replica
    from .operator_tokens import OperatorTokens

BODY_LIMIT_BYTES = 4 * 1024 * 1024
AUDIT_LIMIT = 1_000
HTTP_MISDIRECTED_REQUEST = 421
EDIT_STATUS = {
    EditVerdict.ACCEPTED: 200,
    EditVerdict.REFUSED: 422,
    EditVerdict.CONFLICT: 409,
}
OPERATOR = web.RequestKey("operator", OperatorName)


class OperatorApi:
    """Serves the table, the audit trail and the set of replicas, and takes changes.

    :param replica: the replica of this process
    :param registry: members known to this replica
    :param tokens: authenticates operators
    """

    def __init__(
        self, replica: Replica, registry: MembershipRegistry, tokens: OperatorTokens
    ) -> None:
        self._replica = replica
        self._registry = registry
        self._tokens = tokens

    def make_app(self) -> web.Application:
        """Build the application of the operator address.

        :return: the application
        """
        app = web.Application(
            middlewares=[self._authenticate, _to_json_errors],
            client_max_size=BODY_LIMIT_BYTES,
        )
        app.router.add_get("/v1/table", self._get_table)
        app.router.add_post("/v1/edits", self._post_edit)
        app.router.add_get("/v1/edits/{edit_key}", self._get_edit)
        app.router.add_get("/v1/audit", self._get_audit)
        app.router.add_get("/v1/replicas", self._get_replicas)
        app.router.add_post("/v1/replicas/{replica_id}/{action}", self._post_replica)
        app.router.add_get("/v1/members", self._get_members)
        app.router.add_get("/v1/quarantine", self._get_quarantine)
        app.router.add_get("/v1/status", self._get_status)
        return app

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        operator = self._tokens.authenticate(request.headers.get("Authorization", ""))
        if operator is None:
            return web.json_response(
                {"error": "missing or unknown operator token"}, status=401
            )
        request[OPERATOR] = operator
        return await handler(request)

    async def _get_table(self, request: web.Request) -> web.Response:
        machine = self._replica.machine
        version = request.query.get("version")
        if version is None:
            # An unconfirmed read could return a version older than the operator's edit.
            await self._replica.confirm_read()
            return web.json_response(machine.table.to_json())
        number = TableVersion(_parse_number("version", version))
        table = machine.table_version(number)
        if table is None and number > machine.table.version:
            await self._replica.confirm_read()
            table = machine.table_version(number)
        if table is None:
            return web.json_response(
                {"error": "this table version is too new or no longer stored"},
                status=404,
            )
        return web.json_response(table.to_json())

    async def _post_edit(self, request: web.Request) -> web.Response:
        document = await _read_object(request)
        operations = document.get("operations")
        base_version = document.get("base_version")
        edit_key = document.get("edit_key")
        if (
            not isinstance(operations, list)
            or not isinstance(base_version, int)
            or not isinstance(edit_key, str)
        ):
            raise InvalidInputError(
                "expected a text 'edit_key', a whole number 'base_version' and a list "
                "'operations'",
                step="read edit",
            )
        parsed = tuple(EditOperation.from_json(item) for item in operations)

        def make_command(log_time_ms: int) -> Command:
            return EditTable(
                log_time_ms,
                EditKey(edit_key),
                TableVersion(base_version),
                request[OPERATOR],
                request.remote or "unknown",
                parsed,
            )

        result = await self._replica.submit(make_command)
        assert isinstance(result, EditResult)
        return web.json_response(result.to_json(), status=EDIT_STATUS[result.verdict])

    async def _get_edit(self, request: web.Request) -> web.Response:
        edit_key = EditKey(request.match_info["edit_key"])
        result = self._replica.machine.find_edit_result(edit_key)
        if result is None:
            # This replica may lag behind, so only a confirmed leader may answer that
            # there is no such edit.
            await self._replica.confirm_read()
            result = self._replica.machine.find_edit_result(edit_key)
        if result is not None:
            return web.json_response(result.to_json())
        return web.json_response({"error": "no edit with this key"}, status=404)

    async def _get_audit(self, request: web.Request) -> web.Response:
        after = _parse_number("after", request.query.get("after", "0"))
        limit = _parse_number("limit", request.query.get("limit", "100"))
        if "local" not in request.query:
            # An unconfirmed read could lack an edit that was acknowledged before it.
            await self._replica.confirm_read()
        entries = self._replica.machine.audit_entries(after, min(limit, AUDIT_LIMIT))
        return web.json_response({"entries": [entry.to_json() for entry in entries]})

    async def _get_replicas(self, _: web.Request) -> web.Response:
        await self._replica.confirm_read()
        return web.json_response(describe_replicas(self._replica))

    async def _post_replica(self, request: web.Request) -> web.Response:
        action = request.match_info["action"]
        replica_id = ReplicaId(request.match_info["replica_id"])
        core = self._replica.core
        before = tuple(core.membership.members)
        if action == "admit":
            address = core.pending_joins.get(replica_id)
            if address is None and self._replica.is_leader:
                raise InvalidInputError(
                    f"{replica_id} has not asked to be admitted", step="admit replica"
                )

            def change(core: ReplicaCore) -> list[Effect]:
                return core.admit(replica_id, address or "")
        elif action == "remove":

            def change(core: ReplicaCore) -> list[Effect]:
                return core.remove(replica_id)
        else:
            raise web.HTTPNotFound
        await self._change_replicas(
            request, ReplicaAction(action), replica_id, before, change
        )
        return web.json_response(describe_replicas(self._replica))

    async def _change_replicas(
        self,
        request: web.Request,
        action: ReplicaAction,
        replica_id: ReplicaId,
        before: tuple[str, ...],
        change: Callable[[ReplicaCore], list[Effect]],
    ) -> None:
        fault: MarjoramstepError | None = None
        try:
            self._replica.change_membership(change)
        except NotLeaderError:
            raise
        except MarjoramstepError as error:
            fault = error
        after = tuple(self._replica.core.membership.members)

        def make_command(log_time_ms: int) -> Command:
            return RecordReplicaChange(
                log_time_ms,
                request[OPERATOR],
                request.remote or "unknown",
                action,
                replica_id,
                ReplicaChangeVerdict.REFUSED
                if fault
                else ReplicaChangeVerdict.ACCEPTED,
                before,
                after,
                fault.message if fault else "",
            )

        await self._replica.submit(make_command)
        if fault is not None:
            raise InvalidInputError(fault.message, step=fault.step, peer=fault.peer)

    async def _get_members(self, _: web.Request) -> web.Response:
        # Members known to this replica, which may not know all of them.
        members = [
            {
                "service_name": service,
                "server_id": member.server_id,
                "node_id": member.node_id,
                "address": member.address,
                "zone": member.zone,
                "slots": member.slots,
                "state": member.state,
                "incarnation": member.incarnation,
            }
            for service in self._registry.services()
            for member in self._registry.members(service)
        ]
        return web.json_response({"members": members})

    async def _get_quarantine(self, _: web.Request) -> web.Response:
        # State of this replica, which may lag behind the leader.
        entries = [
            {
                "service_name": entry.service_name,
                "fingerprint": entry.fingerprint,
                "remaining_ms": entry.remaining_ms,
            }
            for entry in self._replica.machine.quarantined()
        ]
        return web.json_response({"entries": entries})

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(describe_status(self._replica))


def describe_status(replica: Replica) -> dict[str, Any]:
    """Return the state of a replica.

    :param replica: the replica of this process
    :return: JSON values
    """
    core, machine = replica.core, replica.machine
    return {
        "replica_id": core.replica_id,
        "role": core.role.value,
        # Whether it leads and a quorum has answered it recently.
        "leads": replica.is_leader,
        "term": core.term,
        "leader_id": core.leader_id,
        "commit_index": core.commit_index,
        "applied_index": core.applied_index,
        "last_index": core.last_index,
        "confirmed_age_ms": replica.confirmed_age_ms(),
        "table_version": machine.table.version,
        "claims": machine.claim_count,
        "stored_answers_bytes": machine.answers_bytes,
    }


def describe_replicas(replica: Replica) -> dict[str, Any]:
    """Return the members of the replica set and how many losses it survives.

    :param replica: the leader, since only it has the match indexes
    :return: JSON values; ``survives_losses`` counts the synced voters that may be lost
        before the quorum is lost
    """
    core = replica.core
    reachable_members = replica.quorum_contact.reachable_members()
    required_index = replica.quorum_contact.required_index()
    membership = core.membership
    match_indexes = core.match_indexes()
    replicas = []
    synced_voters = 0
    for replica_id, address in sorted(membership.members.items()):
        match_index = match_indexes.get(replica_id)
        is_synced = (
            replica_id in reachable_members
            and match_index is not None
            and match_index >= required_index
        )
        is_voter = replica_id in membership.voters
        synced_voters += is_synced and is_voter
        replicas.append(
            {
                "replica_id": replica_id,
                "address": address,
                "voter": is_voter,
                "match_index": match_index,
                "synced": is_synced,
            }
        )
    return {
        "leader_id": core.leader_id,
        # Whether the core is in the role of the leader, also without a recent answer.
        "is_leader": bool(match_indexes),
        "commit_index": core.commit_index,
        "replicas": replicas,
        "waiting": [
            {"replica_id": replica_id, "address": address}
            for replica_id, address in sorted(core.pending_joins.items())
        ],
        "survives_losses": max(synced_voters - membership.quorum_size, 0),
    }


@web.middleware
async def _to_json_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except NotLeaderError as error:
        # Replicas know only each other's peer addresses, which do not speak HTTP.
        body = {"error": error.message, "leader_address": ""}
        return web.json_response(body, status=HTTP_MISDIRECTED_REQUEST)
    except UnavailableError as error:
        body = {"error": error.message, "verdict": "unknown"}
        return web.json_response(body, status=503)
    except InvalidInputError as error:
        return web.json_response({"error": error.message}, status=422)


async def _read_object(request: web.Request) -> dict[str, Any]:
    try:
        document = await request.json()
    except ValueError as error:
        raise InvalidInputError("expected JSON", step="read edit") from error
    if not isinstance(document, dict):
        raise InvalidInputError("expected a JSON object", step="read edit")
    return document


def _parse_number(name: str, text: str) -> int:
    if not text.isdigit() or len(text) > 18:
        raise InvalidInputError(
            f"{name}: expected a whole number of at most 18 digits, found {text!r}",
            step="read query",
        )
    return int(text)
