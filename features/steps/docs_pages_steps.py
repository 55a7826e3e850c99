"""Steps that compare pages with the code."""

from __future__ import annotations

import dataclasses
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then
from behave import when
from marjoramstep_command.edits import STATUS_OF_VERDICT
from marjoramstep_command.errors import UnknownOutcomeError
from marjoramstep_core.states import Outcome
from marjoramstep_core.states import Reason
from marjoramstep_core.table.columns import COLUMNS
from marjoramstep_core.table.columns import CellError
from marjoramstep_daemon import settings
from marjoramstep_daemon.callers.entry_result import EntryResult
from marjoramstep_daemon.callers.responses import headers_of
from marjoramstep_daemon.callers.responses import status_of
from marjoramstep_daemon.calls import Refused


ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
# The only reason that comes with an answer instead of a refusal or failure.
ANSWER_REASONS = {"answer-not-stored": "done 200", "shed-below": "done 500"}


def read_rows(page: Path) -> list[list[str]]:
    """Return the cells of the page's only table, without heading."""
    lines = [t for t in page.read_text("utf-8").splitlines() if t.startswith("|")]
    rows = [[cell.strip() for cell in line[1:-1].split("|")] for line in lines]
    assert len({len(row) for row in rows}) == 1, f"{page} has more than one table"
    return rows[2:]


@when("the page of the table is compared with the column registry")
def step_impl(context: Any) -> None:
    context.page_rows = read_rows(DOCS / "operators" / "table.md")


@then("the page has all columns in order, with defaults and descriptions")
def step_impl(context: Any) -> None:
    names = [row[0].strip("`") for row in context.page_rows]
    assert names == COLUMNS.names(), (names, COLUMNS.names())
    for name, default, _, meaning, advice in context.page_rows:
        column = COLUMNS.get(name.strip("`"))
        expected = str(column.default)
        if isinstance(column.default, bool):
            expected = expected.lower()
        assert default.strip("`") == (expected or "required"), (name, default)
        assert meaning == column.description, (name, meaning)
        assert advice, name


# Columns whose page gives examples of a form, and a value that lacks it.
FORMS = {"host": "no host", "targets": "archive"}


def _is_accepted(name: str, value: object) -> bool:
    try:
        COLUMNS.get(name).parse(value)
    except CellError:
        return False
    return True


@then("the bounds on the page are accepted and values beyond them are refused")
def step_impl(context: Any) -> None:
    checked = 0
    for cell, _, values, _, _ in context.page_rows:
        name = cell.strip("`")
        bounds = re.fullmatch(r"([0-9]+) to ([0-9]+)", values)
        if bounds:
            low, high = map(int, bounds.groups())
            found = [_is_accepted(name, n) for n in (low - 1, low, high, high + 1)]
            assert found == [False, True, True, False], (name, found)
        elif name in ("method", "size_class", "repeatable", "claimed", *FORMS):
            for choice in re.findall(r"`([^`]+)`", values):
                assert _is_accepted(name, choice), (name, choice)
            assert not _is_accepted(name, FORMS.get(name, "other")), name
        else:
            assert name in ("name", "service", "path_prefix"), name
            continue
        checked += 1
    assert checked == len(context.page_rows) - 3


@when("the page of errors is compared with the reasons")
def step_impl(context: Any) -> None:
    context.page_rows = read_rows(DOCS / "operators" / "errors.md")


@then("every reason has one row and no row is left over")
def step_impl(context: Any) -> None:
    names = sorted(row[0].strip("`") for row in context.page_rows)
    assert names == sorted(reason.value for reason in Reason), names


@then("every status and Retry-After on the page is the one of the node")
def step_impl(context: Any) -> None:
    for cell, pairs, retry_after, _, _ in context.page_rows:
        name = cell.strip("`")
        if name in ANSWER_REASONS:
            assert (pairs, retry_after) == (ANSWER_REASONS[name], "no"), (name, pairs)
            continue
        for pair in pairs.split(", "):
            outcome, status = pair.split()
            reply = Refused(Reason(name))
            result = EntryResult(reply, Outcome(outcome), "key", "row")
            assert status_of(result) == int(status), (name, pair, status_of(result))
            has_header = "Retry-After" in headers_of(result, 0.0)
            assert retry_after == ("yes" if has_header else "no"), name


@then("every relative link in README.md and docs leads to a file")
def step_impl(context: Any) -> None:
    links = 0
    for page in [ROOT / "README.md", *DOCS.rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#]+)", page.read_text("utf-8")):
            if "://" not in target:
                links += 1
                assert (page.parent / target).exists(), f"{page}: {target}"
    assert links, "no link was found"


@when("the settings on the install page are checked")
def step_impl(context: Any) -> None:
    page = (DOCS / "operators" / "install.md").read_text("utf-8")
    context.install_page = page
    context.install_faults = []
    blocks = re.findall(r"^```json\n(.*?)^```", page, re.M | re.S)
    assert len(blocks) == 2, blocks
    with tempfile.TemporaryDirectory() as folder:
        key = Path(folder) / "deployment.key"
        key.write_text("k" * 32)
        path = Path(folder) / "settings.json"
        for block in blocks:
            path.write_text(block.replace("/etc/marjoramstep/deployment.key", str(key)))
            context.install_faults.append(_check_faults(path))


def _check_faults(path: Path) -> str:
    command = [str(Path(sys.executable).parent / "marjoramstepd"), "--check", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return "" if result.returncode == 0 else result.stderr or "no message"


@then("every example passes --check")
def step_impl(context: Any) -> None:
    assert context.install_faults == ["", ""], context.install_faults


@then("the page names every field of the settings")
def step_impl(context: Any) -> None:
    external = {"roles": "role", "deployment_key": "deployment_key_file"}
    for kind in (
        settings.Settings,
        settings.NodeSettings,
        settings.ControlSettings,
        settings.OperatorSettings,
        settings.ReplicaSettings,
    ):
        for field in dataclasses.fields(kind):
            name = external.get(field.name, field.name)
            assert f"`{name}`" in context.install_page, name
            assert f'"{name}":' in context.install_page, name


@then("the page of edits names the exit status of each verdict")
def step_impl(context: Any) -> None:
    rows = read_rows(DOCS / "operators" / "edit-and-audit.md")
    found = {row[0]: int(row[1]) for row in rows}
    expected = {name: int(status) for name, status in STATUS_OF_VERDICT.items()}
    expected["unknown"] = int(UnknownOutcomeError.exit_status)
    assert found == expected, (found, expected)


def _read_promises() -> list[list[str]]:
    lines = (DOCS / "promises.md").read_text("utf-8").splitlines()
    return [
        [cell.strip() for cell in line[1:-1].split("|")]
        for line in lines
        if re.match(r"\| [IF][0-9]", line)
    ]


@then("every scenario and feature on the page of promises is found in features")
def step_impl(context: Any) -> None:
    features = "\n".join(
        path.read_text("utf-8") for path in (ROOT / "features").rglob("*.feature")
    )
    names = set(re.findall(r"Scenario(?: Outline)?: (.*)", features))
    quoted = [
        name
        for row in _read_promises()
        for cell in row
        for name in re.findall(r'"([A-Z][^"]+)"', cell)
    ]
    assert len(quoted) > 10, quoted
    assert not set(quoted) - names, set(quoted) - names
    for row in _read_promises():
        for path in re.findall(r"`(features/[^`]+)`", row[4]):
            assert (ROOT / path).exists(), path
        for path in re.findall(r"`([^`]+)`", row[2]):
            package, _, rest = path.partition("/")
            source = ROOT / "packages" / package / "src" / f"marjoramstep_{package}"
            assert (source / rest).exists(), path


@then("the page of promises has one row for each invariant and event of the design")
def step_impl(context: Any) -> None:
    design = (DOCS / "design.md").read_text("utf-8")
    expected = re.findall(r"^\| ([IF][0-9]) \|", design, re.M)
    rows = _read_promises()
    assert [row[0] for row in rows] == expected, expected
    for row in rows:
        assert row[4] != "none" or "not proved" in row[-1], row
