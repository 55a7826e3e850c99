"""Entry point of the operator's command."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import TYPE_CHECKING
from typing import Any

import defopt
from marjoramstep_core.errors import MarjoramstepError

from .errors import ExitStatus
from .errors import exit_status_of
from .output import write_error
from .registry import load_commands


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


def run(argv: Sequence[str]) -> int:
    """Run one command.

    :param argv: arguments without the name of the program
    :return: exit status
    """
    try:
        return int(_parse(argv)() or ExitStatus.OK)
    except SystemExit as error:
        return int(error.code or 0)
    except MarjoramstepError as error:
        write_error(str(error))
        return exit_status_of(error)
    except KeyboardInterrupt:
        write_error("interrupted")
        return ExitStatus.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output has ended, as in "marjoramstep audit list | head".
        sys.stdout = io.StringIO()
        return ExitStatus.OK
    except Exception as error:
        write_error(f"internal error: {type(error).__name__}: {error}")
        return ExitStatus.FAILED


def _parse(argv: Sequence[str]) -> Callable[[], Any]:
    messages = io.StringIO()
    try:
        with contextlib.redirect_stderr(messages):
            call: Callable[[], Any] = defopt.bind(
                load_commands(),
                argv=list(argv),
                no_negated_flags=True,
                short={},
                argparse_kwargs={"prog": "marjoramstep"},
            )
    except SystemExit as error:
        # argparse writes its usage before the error; the error is the last line.
        lines = messages.getvalue().strip().splitlines()
        if error.code and lines:
            write_error(lines[-1].partition("error: ")[2] or lines[-1])
        raise
    return call


def main() -> None:
    """Run the command that the process was started with, and exit."""
    sys.exit(run(sys.argv[1:]))
