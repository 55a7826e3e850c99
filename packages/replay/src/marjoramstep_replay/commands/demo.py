"""Sub-command that runs a small deployment on this machine."""

from __future__ import annotations

from pathlib import Path

import uvloop


def demo(
    *,
    folder: Path = Path("build/demo"),
    once: bool = False,
    limit_seconds: float | None = None,
) -> int:
    """Run replicas, nodes and stand-in backend servers on loopback until Ctrl-C.

    :param folder: Folder for settings, data and logs; each run makes a new one in it.
    :param once: Check one request and the effect of one edit at every node, then stop.
    :param limit_seconds: Longest time to serve, by default until Ctrl-C.
    :return: exit status; 0 only if all checks were passed
    """
    # The operator's command loads this module at each start, so it stays light.
    from ..demo import Demo
    from ..demo import DemoOptions

    status: int = uvloop.run(Demo(DemoOptions(folder, once, limit_seconds)).run())
    return status
