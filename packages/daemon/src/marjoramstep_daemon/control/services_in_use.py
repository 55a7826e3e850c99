"""Services that a node knows by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramstep_core.ids import ServiceName


if TYPE_CHECKING:
    from marjoramstep_core.table import Table

    from .table_store import TableStore


# Stands in rows that are not limited to one service.
ANY_SERVICE = ServiceName("*")


class ServicesInUse:
    """Services of the table in force and of the node's settings.

    :param tables: the table in force
    :param own_service: service in the settings of the node, empty if there is none
    """

    def __init__(self, tables: TableStore, own_service: ServiceName) -> None:
        self._own_service = own_service
        self._names: set[ServiceName] = set()
        tables.table_observers.append(self._apply)
        if tables.table is not None:
            self._apply(tables.table)

    def include(self, service: ServiceName) -> bool:
        """Return whether a backend server may announce a service.

        :param service: name of the service
        :return: whether it is known, or no table names any service yet
        """
        return not self._names or service == self._own_service or service in self._names

    def _apply(self, table: Table) -> None:
        names = {row.service for row in table.rows.values()}
        for row in table.rows.values():
            names.update(share.service for share in row.target_shares)
        names.discard(ANY_SERVICE)
        self._names = names
