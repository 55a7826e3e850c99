"""Deployment files: what a replay starts on one machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.ids import TableVersion
from marjoramstep_core.table import EditOperation
from marjoramstep_core.table import RowMatcher
from marjoramstep_core.table import Table
from marjoramstep_core.table import apply_operations
from marjoramstep_core.table.edit import OperationKind

from .backend_server.profile import Profile
from .documents import Fields
from .documents import read_json


if TYPE_CHECKING:
    from pathlib import Path

REPLICA_COUNTS = (1, 3, 5)


@dataclass(frozen=True)
class ServiceDeployment:
    """A service and its backend servers; each has a node beside it.

    :param name: name of the service
    :param servers: number of backend servers
    :param slots: slots of each one
    :param connections: announced limit of connections of each one
    :param profile: behaviour of its stand-in backend servers, as JSON values
    """

    name: str
    servers: int
    slots: int
    connections: int
    profile: dict[str, Any]

    @classmethod
    def from_json(cls, document: Any, where: str) -> ServiceDeployment:
        """Build a service from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the service
        :raises InvalidInputError: if a field is not valid
        """
        fields = Fields(document, where)
        profile = fields.raw("profile")
        Profile.from_json(profile, f"{where}.profile")
        service = cls(
            fields.text("name"),
            fields.integer("servers", None, 1),
            fields.integer("slots", None, 1),
            fields.integer("connections", None, 1),
            profile,
        )
        fields.finish()
        return service

    def server_names(self) -> list[str]:
        """Return the names of the backend servers.

        :return: the service's name with a number
        """
        return [f"{self.name}-{index + 1}" for index in range(self.servers)]


@dataclass(frozen=True)
class Deployment:
    """Everything that a replay starts.

    :param name: name of the deployment
    :param zones: availability zones; replicas and nodes are spread over them
    :param replicas: number of control replicas
    :param services: the services
    :param rows: rows added to the new table, each as cells by column
    """

    name: str
    zones: tuple[str, ...]
    replicas: int
    services: tuple[ServiceDeployment, ...]
    rows: tuple[dict[str, Any], ...]

    @classmethod
    def from_json(cls, document: Any, where: str = "deployment") -> Deployment:
        """Build a deployment from JSON values.

        :param document: the object
        :param where: its place, for error messages
        :return: the deployment
        :raises InvalidInputError: if a field or a table row is not valid
        """
        fields = Fields(document, where)
        deployment = cls(
            fields.text("name"),
            fields.list("zones", _text),
            fields.integer("replicas", 3),
            fields.list("services", ServiceDeployment.from_json),
            fields.list("rows", _row),
        )
        fields.finish()
        if deployment.replicas not in REPLICA_COUNTS:
            raise fields.error("replicas must be 1, 3 or 5")
        if not deployment.zones or not deployment.services:
            raise fields.error("zones and services must not be empty")
        names = [service.name for service in deployment.services]
        if len(set(names)) != len(names):
            raise fields.error("names of services must be unique")
        deployment.matcher()
        return deployment

    def to_json(self) -> dict[str, Any]:
        """Return the deployment as JSON values.

        :return: an object that :meth:`from_json` reads
        """
        return {
            "name": self.name,
            "zones": list(self.zones),
            "replicas": self.replicas,
            "services": [
                {
                    "name": service.name,
                    "servers": service.servers,
                    "slots": service.slots,
                    "connections": service.connections,
                    "profile": service.profile,
                }
                for service in self.services
            ],
            "rows": list(self.rows),
        }

    def operations(self) -> list[EditOperation]:
        """Return the edit that fills the new table.

        :return: one operation for each row
        """
        kind = OperationKind.ADD_ROW
        return [EditOperation(kind, row["name"], dict(row)) for row in self.rows]

    def matcher(self) -> RowMatcher:
        """Return what finds the row of a request.

        :return: matcher over the table with the deployment's rows
        :raises InvalidInputError: if a row is not valid
        """
        table = Table(TableVersion(1))
        if self.rows:
            table = apply_operations(table, self.operations())
        return RowMatcher(table)


def read_deployment(path: Path) -> Deployment:
    """Read a deployment file.

    :param path: JSON file
    :return: the deployment
    :raises InvalidInputError: if the file is not valid
    """
    return Deployment.from_json(read_json(path), str(path))


def _text(value: Any, where: str) -> str:
    if not isinstance(value, str) or not value:
        raise InvalidInputError(
            f"{where}: expected a text, found {value!r}", step="read document"
        )
    return value


def _row(value: Any, where: str) -> dict[str, Any]:
    fields = Fields(value, where)
    fields.text("name")
    return dict(value)
