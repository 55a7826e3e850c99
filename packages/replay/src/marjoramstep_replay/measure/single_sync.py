"""Runs the daemon with one sync for each proposal, as a baseline of group commit."""

from __future__ import annotations

import functools

from marjoramstep_daemon import main as daemon_main
from marjoramstep_daemon.control import control_process
from marjoramstep_daemon.control.replica import Replica


def main() -> None:
    """Run the command line of the daemon."""
    single_sync = functools.partial(Replica, group_commit=False)
    vars(control_process)["Replica"] = single_sync
    daemon_main.main()


if __name__ == "__main__":
    main()
