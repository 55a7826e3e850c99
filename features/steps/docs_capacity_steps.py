"""Steps for the capacity page."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from behave import then
from behave import when
from marjoramstep_replay.capacity.figures import read_figures
from marjoramstep_replay.capacity.page import render
from marjoramstep_replay.capacity.sweep import read_sweep


DOCS = Path(__file__).parents[2] / "docs"


@when("the capacity page is rendered from the committed measurements")
def step_render(context: Any) -> None:
    folder = DOCS / "measurements"
    context.capacity_page = render(read_figures(folder), read_sweep(folder))


@then("it equals the capacity page of the repository")
def step_equal(context: Any) -> None:
    committed = (DOCS / "CAPACITY.md").read_text("utf-8")
    assert context.capacity_page == committed, "run `replay capacity` and commit"
