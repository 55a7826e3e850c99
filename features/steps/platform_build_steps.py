"""Steps for the build for the platform, with a stand-in for Python."""

from __future__ import annotations

import os
import platform
import shutil
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from marjoramstep_daemon.build_info import describe_build


REPOSITORY = Path(__file__).resolve().parents[2]
# Notes its calls; its "-c" prints what the test says of the machine.
FAKE_PYTHON = """#!/usr/bin/env bash
echo "$@" >> "$CALLS"
case "$*" in
  -c*) echo "$KIND" ;;
  *pip*) [ -z "${BREAKS:-}" ] || exit 1; mkdir -p target/deps/library ;;
esac
"""
KIND = "cpython-311 linux-aarch64"
LIMIT_SECONDS = 20.0


class Checkout:
    """A copy of what the build reads, in a folder of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.calls = folder / "calls"
        self.kind = KIND
        shutil.copytree(REPOSITORY / "deploy", folder / "deploy")
        shutil.copy(REPOSITORY / "constraints.txt", folder)
        for source in REPOSITORY.glob("packages/*/src/marjoramstep_*"):
            target = folder / source.relative_to(REPOSITORY)
            target.mkdir(parents=True)
            (target / "module.py").write_text("VALUE = 1\n", "utf-8")
        python = folder / "bin" / "python3"
        python.parent.mkdir()
        python.write_text(FAKE_PYTHON, "utf-8")
        python.chmod(0o755)

    def build(self, *, breaks: bool = False) -> int:
        """Run the build and return its status."""
        environment = {
            "PATH": f"{self.folder / 'bin'}:{os.environ['PATH']}",
            "CALLS": str(self.calls),
            "KIND": self.kind,
            "BREAKS": "1" if breaks else "",
        }
        done = subprocess.run(
            ["bash", "deploy/build"],
            cwd=self.folder,
            env=environment,
            timeout=LIMIT_SECONDS,
            check=False,
        )
        return done.returncode

    def installations(self) -> int:
        """Return how often libraries were installed."""
        lines = self.calls.read_text("utf-8").splitlines()
        return sum("pip install" in line for line in lines)

    def module(self, name: str) -> Path:
        """Return a module of the daemon in the checkout."""
        return self.folder / "packages/daemon/src/marjoramstep_daemon" / name

    @property
    def built(self) -> Path:
        """The daemon's package in the build."""
        return self.folder / "target/deps/marjoramstep_daemon"

    def build_id(self) -> str:
        """Return the id of the build, empty if it names none."""
        path = self.built / "BUILD"
        return path.read_text("utf-8") if path.exists() else ""


@given("a checkout that was built before")
def step_built(context: Any) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.checkout = Checkout(folder)
    assert context.checkout.build() == 0
    context.installations = context.checkout.installations()
    context.build_id = context.checkout.build_id()


@when("it is built again after {change}")
def step_build_again(context: Any, change: str) -> None:
    checkout = context.checkout
    if change == "the pins changed":
        (checkout.folder / "constraints.txt").write_text("aiohttp==1\n", "utf-8")
    elif change == "the kind of machine changed":
        checkout.kind = KIND.replace("aarch64", "x86_64")
    elif change == "the version of Python changed":
        checkout.kind = KIND.replace("311", "312")
    elif change == "an installation broke off":
        checkout.kind = KIND.replace("aarch64", "x86_64")
        assert checkout.build(breaks=True) != 0
        context.installations += 1
        checkout.kind = KIND
    elif change == "a module was removed and another one changed":
        checkout.module("module.py").unlink()
        checkout.module("other.py").write_text("VALUE = 2\n", "utf-8")
    assert checkout.build() == 0


@then("the libraries were installed {times:d} more time")
def step_installed(context: Any, times: int) -> None:
    found = context.checkout.installations() - context.installations
    assert found == times, found


@then("the build holds the modules of the checkout and names another build")
def step_modules(context: Any) -> None:
    built = context.checkout.built
    assert {path.name for path in built.iterdir()} == {"other.py", "BUILD"}
    assert context.checkout.build_id() not in ("", context.build_id)


@when("the build of this process is described")
def step_describe(context: Any) -> None:
    context.build = describe_build("uvloop")


@then(
    "it names the build, the version of Python, the machine, the event loop and the "
    "parser"
)
def step_described(context: Any) -> None:
    build = context.build
    assert build.build_id == "source", build
    assert build.python_version == platform.python_version(), build
    assert build.machine == platform.machine(), build
    assert build.event_loop == "uvloop", build
    assert build.http_parser == "native", build
