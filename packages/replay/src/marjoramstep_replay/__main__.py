"""Command line of the replay tools."""

from __future__ import annotations

import sys

import defopt
from marjoramstep_core.errors import MarjoramstepError

from .commands.capacity import capacity
from .commands.generate import generate_trace
from .commands.latency import latency
from .commands.replay import replay_trace
from .commands.soak import soak


INVALID_STATUS = 2
INTERRUPTED_STATUS = 130


def main(arguments: list[str] | None = None) -> int:
    """Run one sub-command.

    :param arguments: arguments, those of the process by default
    :return: its exit status; 2 when an input is not valid or a run cannot be made
    """
    functions = {
        "capacity": capacity,
        "generate": generate_trace,
        "latency": latency,
        "replay": replay_trace,
        "soak": soak,
    }
    try:
        return int(defopt.run(functions, argv=arguments))
    except MarjoramstepError as error:
        sys.stderr.write(f"error: {error}\n")
        return INVALID_STATUS
    except KeyboardInterrupt:
        sys.stderr.write("interrupted; all processes of the run were ended\n")
        return INTERRUPTED_STATUS


if __name__ == "__main__":
    sys.exit(main())
