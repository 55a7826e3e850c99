"""Entry point of ``marjoramstepd``."""

from __future__ import annotations

import sys
from pathlib import Path

import uvloop
from marjoramstep_core.errors import MarjoramstepError

from .daemon import Daemon
from .log import open_log
from .settings import InvalidSettingsError
from .settings import Settings
from .settings import read_settings


EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2


def run(settings_file: Path, *, check: bool = False, initialize: bool = False) -> int:
    """Run a node, a control replica, or both, as the settings say.

    SIGTERM or SIGINT starts a graceful shutdown, a second one ends it at once. The exit
    status is 0 after a shutdown, 1 after a failure, 2 if the settings are not valid.

    :param settings_file: the JSON settings file
    :param check: only check the settings
    :param initialize: only prepare the empty data folder of an initial replica of a
        new deployment, once; never on a replaced VM
    :return: exit status
    """
    try:
        settings = read_settings(settings_file)
    except InvalidSettingsError as error:
        for fault in error.faults:
            sys.stderr.write(f"{settings_file}: {fault}\n")
        return EXIT_BAD_SETTINGS
    if check:
        return 0
    try:
        if initialize:
            from .control.control_process import initialize_data_folder

            replica_id = initialize_data_folder(settings)
            sys.stdout.write(f"data folder of {replica_id} initialized\n")
            return 0
        return _serve(settings, settings_file)
    except MarjoramstepError as error:
        sys.stderr.write(f"marjoramstepd: {error}\n")
    except OSError as error:
        sys.stderr.write(f"marjoramstepd: {error}\n")
    return EXIT_FAILURE


def _serve(settings: Settings, settings_file: Path) -> int:
    sink = open_log(settings.log_file)
    try:
        status: int = uvloop.run(Daemon(settings, settings_file).run())
    finally:
        sink.flush()
    return status


def main() -> None:
    """Run the command line."""
    arguments = sys.argv[1:]
    if len(arguments) == 1 and not arguments[0].startswith("-"):
        # The parser of the command line takes a third of the start time.
        sys.exit(run(Path(arguments[0])))
    import defopt

    sys.exit(defopt.run(run, short={}))
