"""Text that tells a user how to go on."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from .scenario import EDITED_CELL
from .scenario import RESTORED_CELL
from .scenario import UPLOAD_BODY
from .scenario import UPLOAD_METHOD
from .scenario import UPLOAD_PATH
from .scenario import UPLOAD_ROW
from .scenario import UPLOAD_SERVICE


if TYPE_CHECKING:
    from ..launch import Cluster

ENVIRONMENT_FILE = "env.sh"


def write_environment(folder: Path, cluster: Cluster, token_file: Path) -> Path:
    """Write a file that a shell reads before the guide's commands.

    :param folder: folder of the demo
    :param cluster: the started processes
    :param token_file: file with the operator's token
    :return: the file
    """
    first = cluster.entry_nodes()[0]
    variables = {
        "MARJORAMSTEP_CONTROL": ",".join(cluster.operator_addresses()),
        "MARJORAMSTEP_TOKEN_FILE": str(token_file),
        "RUN_FOLDER": str(token_file.parent),
        "NODE": cluster.address(first, "caller_address"),
    }
    lines = [f"export {name}={shlex.quote(v)}" for name, v in variables.items()]
    lines.append(f"export PATH={shlex.quote(str(Path(sys.executable).parent))}:$PATH")
    path = folder / ENVIRONMENT_FILE
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def addresses_text(cluster: Cluster) -> str:
    """Return the addresses of all processes.

    :param cluster: the started processes
    :return: one line for each process
    """
    lines = []
    for name, process in cluster.processes.items():
        addresses = [
            f"{kind.removesuffix('_address')} {address}"
            for kind, address in process.addresses.items()
        ]
        lines.append(f"  {name:<16} {', '.join(addresses)}")
    return "\n".join(lines)


def commands_text(environment_file: Path) -> str:
    """Return the commands to type next.

    :param environment_file: as returned by :func:`write_environment`
    :return: several lines
    """
    request = (
        f"curl -i -X {UPLOAD_METHOD} -H 'Marjoramstep-Service: {UPLOAD_SERVICE}' "
        f"--data-binary '{UPLOAD_BODY.decode()}' http://$NODE{UPLOAD_PATH}"
    )
    return "\n".join(
        [
            f"  . {shlex.quote(str(environment_file))}",
            f"  {request}",
            f"  marjoramstep table set {UPLOAD_ROW} {EDITED_CELL}",
            f"  {request}",
            f"  marjoramstep table set {UPLOAD_ROW} {RESTORED_CELL}",
            "  marjoramstep audit list",
            "The first request gets 200 and Marjoramstep-Outcome: done, the same one",
            "after the edit gets 413 and Marjoramstep-Outcome: not-run, because the",
            "edit makes the body limit of its row one byte too small.",
        ]
    )
