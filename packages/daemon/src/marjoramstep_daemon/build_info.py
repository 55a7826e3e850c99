"""What a process runs: its build, its Python, its event loop and its HTTP parser."""

from __future__ import annotations

import platform
from dataclasses import dataclass
from pathlib import Path

from aiohttp import __version__ as http_library_version
from aiohttp import http_parser


# Written by a build that copies the packages; a checkout has none.
BUILD_ID_PATH = Path(__file__).parent / "BUILD"
SOURCE_BUILD_ID = "source"


@dataclass(frozen=True)
class BuildInfo:
    """Tells builds and machines apart in a log.

    :param build_id: hash of the sources of a build, ``source`` for a checkout
    :param python_version: version of the interpreter
    :param machine: kind of processor
    :param event_loop: module of the event loop
    :param http_library: version of the HTTP library
    :param http_parser: ``native``, or ``python`` where its compiled parser is missing
    """

    build_id: str
    python_version: str
    machine: str
    event_loop: str
    http_library: str
    http_parser: str


def describe_build(event_loop: str) -> BuildInfo:
    """Describe what this process runs.

    :param event_loop: module of its event loop
    :return: the description
    """
    is_native = http_parser.HttpRequestParser is not http_parser.HttpRequestParserPy
    return BuildInfo(
        build_id=_read_build_id(),
        python_version=platform.python_version(),
        machine=platform.machine(),
        event_loop=event_loop,
        http_library=http_library_version,
        http_parser="native" if is_native else "python",
    )


def _read_build_id() -> str:
    try:
        return BUILD_ID_PATH.read_text("utf-8").strip()
    except FileNotFoundError:
        return SOURCE_BUILD_ID
