"""Settings files of the daemon for a replay."""

from __future__ import annotations

import hashlib
import json
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from .addresses import ANY_PORT


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

OPERATOR_NAME = "replay"
SHUTDOWN_LIMIT_MS = 5_000


@dataclass(frozen=True)
class ReplicaPlan:
    """A replica before its start.

    :param replica_id: name of the process
    :param address: peer address
    """

    replica_id: str
    address: str


class SettingsWriter:
    """Writes settings files into a folder.

    :param folder: folder of one run
    :param replicas: all control replicas
    """

    def __init__(self, folder: Path, replicas: Sequence[ReplicaPlan]) -> None:
        self._folder = folder
        self._replicas = replicas
        self._key_path = folder / "deployment.key"
        self._key_path.write_text(secrets.token_hex(32), encoding="utf-8")
        self._key_path.chmod(0o600)
        self.token = secrets.token_hex(16)

    def write_replica(self, replica: ReplicaPlan, zone: str) -> Path:
        """Write the settings of a control replica.

        :param replica: the replica
        :param zone: its availability zone
        :return: the settings file
        """
        data_folder = self._folder / f"{replica.replica_id}-data"
        data_folder.mkdir()
        token_sha256 = hashlib.sha256(self.token.encode()).hexdigest()
        control = {
            "data_folder": str(data_folder),
            "operator_address": ANY_PORT,
            "operators": [{"name": OPERATOR_NAME, "token_sha256": token_sha256}],
            "initial_replicas": [
                {"replica_id": entry.replica_id, "address": entry.address}
                for entry in self._replicas
            ],
        }
        return self._write(
            replica.replica_id,
            {
                "role": ["control"],
                "zone": zone,
                "peer_address": replica.address,
                "control": control,
            },
        )

    def write_node(self, name: str, zone: str, disabled: Sequence[str]) -> Path:
        """Write the settings of a node.

        :param name: name of the process
        :param zone: its availability zone
        :param disabled: decisions that are turned off
        :return: the settings file
        """
        node = {
            "caller_address": ANY_PORT,
            "announce_address": ANY_PORT,
            "metrics_address": ANY_PORT,
            "disabled_decisions": list(disabled),
        }
        return self._write(
            name,
            {"role": ["node"], "zone": zone, "peer_address": ANY_PORT, "node": node},
        )

    def _write(self, process_id: str, fields: dict[str, Any]) -> Path:
        settings = {
            "process_id": process_id,
            "deployment_key_file": str(self._key_path),
            "control_addresses": [entry.address for entry in self._replicas],
            "log_file": "-",
            "shutdown_limit_ms": SHUTDOWN_LIMIT_MS,
            **fields,
        }
        path = self._folder / f"{process_id}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        return path
