"""Hooks of behave: skips the scenarios that KNOWN-RED.txt lists and cleans up."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import Any


KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test:"


def _known_red_names() -> set[str]:
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def before_all(context: Any) -> None:
    """Read the list of known failures."""
    context.known_red = _known_red_names()


def before_scenario(context: Any, scenario: Any) -> None:
    """Skip a known failure and print its name; open the stack for clean-up."""
    context.stack = contextlib.ExitStack()
    if scenario.name in context.known_red:
        sys.stderr.write(f"known red, not run: {scenario.name}\n")
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Any, scenario: Any) -> None:
    """End processes and close files that the scenario opened."""
    context.stack.close()
