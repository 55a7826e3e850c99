"""Measures the time that the path through the nodes adds to a call."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import uvloop
from marjoramstep_core.clock import SystemClock
from marjoramstep_core.errors import InvalidInputError
from marjoramstep_core.errors import UnavailableError

from .deployment import Deployment
from .launch import Cluster
from .launch.cluster import default_daemon_command
from .launch.table_setup import TableSetup
from .load.warm_up import WarmUp
from .outcomes.result import percentile
from .report import Spread
from .report import write_json


if TYPE_CHECKING:
    from collections.abc import Mapping

TARGET_SERVICE = "target"
ENTRY_SERVICE = "entry"
DIRECT = "direct"
PATH = "path"
PATH_WITHOUT_DECISIONS = "path without decisions"
WARM_UP_CALLS = 200
CALL_LIMIT = 200_000
RUN_TIMEOUT_SECONDS = 600.0
SLOTS = 64
CONNECTIONS = 400


@dataclass(frozen=True)
class LatencyOptions:
    """Options of the measurement.

    :param output: JSON file for the figures
    :param calls: calls of each kind in one run
    :param runs: number of runs, each with new processes
    :param disabled: decisions that are turned off on a second path; none means that
        only one path is measured
    :param replicas: number of control replicas
    :param daemon_command: command that takes a settings file; none means
        ``marjoramstepd`` beside the interpreter
    """

    output: Path
    calls: int = 2000
    runs: int = 5
    disabled: tuple[str, ...] = ()
    replicas: int = 1
    daemon_command: tuple[str, ...] = ()


@dataclass(frozen=True)
class LatencyRun:
    """What one run measured.

    :param latencies_ms: latencies by kind of call
    :param processor_ms: processor time of each node over all calls that count, by kind
        of call and name of the node; background work of the node is included
    """

    latencies_ms: dict[str, list[float]]
    processor_ms: dict[str, float]


def measure_latency(options: LatencyOptions) -> dict[str, Any]:
    """Measure, print and write the time that the path adds to a call.

    Calls of all kinds take turns one at a time, so that they meet the same machine.

    :param options: options
    :return: figures as JSON values, in milliseconds
    :raises InvalidInputError: if a number is out of bounds
    :raises UnavailableError: if processes do not come up or a call fails
    """
    if not 1 <= options.calls * options.runs <= CALL_LIMIT:
        raise InvalidInputError(
            f"calls times runs must be from 1 to {CALL_LIMIT}", step="measure latency"
        )
    runs = []
    for number in range(1, options.runs + 1):
        sys.stderr.write(f"latency run {number} of {options.runs}\n")
        runs.append(uvloop.run(_run_with_limit(options)))
    figures = summarize([run.latencies_ms for run in runs])
    figures["processor_ms_per_call"] = {
        name: _spread([run.processor_ms[name] / options.calls for run in runs])
        for name in runs[0].processor_ms
    }
    document = {"calls_per_run": options.calls, "runs": options.runs, **figures}
    write_json(options.output, document)
    sys.stdout.write(figures_to_text(figures, options))
    return document


def summarize(runs: list[dict[str, list[float]]]) -> dict[str, Any]:
    """Return median and spread over runs.

    :param runs: latencies in milliseconds by kind of call, for each run
    :return: ``kinds`` with p50 and p99 of each kind, ``added`` with the difference of
        these percentiles between two kinds in the same run
    """
    kinds = list(runs[0])
    percents = {"p50_ms": 50.0, "p99_ms": 99.0}
    pairs = [(kind, DIRECT) for kind in kinds if kind != DIRECT]
    if PATH_WITHOUT_DECISIONS in kinds:
        pairs.append((PATH, PATH_WITHOUT_DECISIONS))
    absolute: dict[str, Any] = {}
    for kind in kinds:
        absolute[kind] = {
            name: _spread([percentile(run[kind], percent) for run in runs])
            for name, percent in percents.items()
        }
    added: dict[str, Any] = {}
    for kind, base in pairs:
        added[f"{kind} against {base}"] = {
            name: _spread(
                [
                    percentile(run[kind], percent) - percentile(run[base], percent)
                    for run in runs
                ]
            )
            for name, percent in percents.items()
        }
    return {"kinds": absolute, "added": added}


def figures_to_text(figures: Mapping[str, Any], options: LatencyOptions) -> str:
    """Return the figures as lines for an operator.

    :param figures: as returned by :func:`summarize`
    :param options: options of the measurement
    :return: one line for each kind of call and each difference
    """
    text = f"{options.runs} runs of {options.calls} calls of each kind, taking turns\n"
    for title, entries in (("", figures["kinds"]), ("added: ", figures["added"])):
        for name, values in entries.items():
            parts = [
                f"{figure.removesuffix('_ms')} {value['median']:.3f} ms "
                f"({value['low']:.3f} to {value['high']:.3f})"
                for figure, value in values.items()
            ]
            text += f"{title}{name}: {', '.join(parts)}\n"
    for name, value in figures.get("processor_ms_per_call", {}).items():
        text += (
            f"processor time for each call, {name}: {value['median']:.3f} ms "
            f"({value['low']:.3f} to {value['high']:.3f})\n"
        )
    return text


def _spread(values: list[float]) -> dict[str, float]:
    spread = Spread.of(values)
    if spread is None:
        raise UnavailableError("no call was measured", step="measure latency")
    return spread.to_json()


def _deployment(replicas: int) -> Deployment:
    profile = {
        "paths": [{"prefix": "/", "service_time": {"kind": "constant", "mean_ms": 0}}]
    }
    services = [
        {
            "name": name,
            "servers": 1,
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "profile": profile,
        }
        for name in (ENTRY_SERVICE, TARGET_SERVICE)
    ]
    row = {"name": TARGET_SERVICE, "service": TARGET_SERVICE, "repeatable": True}
    return Deployment.from_json(
        {
            "name": "latency",
            "zones": ["zone-1"],
            "replicas": replicas,
            "services": services,
            "rows": [{**row, "size_class": "short"}],
        }
    )


async def _run_with_limit(options: LatencyOptions) -> LatencyRun:
    try:
        async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
            return await _run(options)
    except TimeoutError as error:
        raise UnavailableError(
            f"a run took longer than {RUN_TIMEOUT_SECONDS:g} s", step="measure latency"
        ) from error


async def _run(options: LatencyOptions) -> LatencyRun:
    sides: list[tuple[str, tuple[str, ...]]] = [(PATH, ())]
    if options.disabled:
        sides.append((PATH_WITHOUT_DECISIONS, options.disabled))
    deployment = _deployment(options.replicas)
    clusters: dict[str, Cluster] = {}
    with tempfile.TemporaryDirectory(prefix="marjoramstep-latency-") as name:
        async with aiohttp.ClientSession() as session:
            try:
                urls: dict[str, str] = {}
                for index, (kind, disabled) in enumerate(sides):
                    folder = Path(name) / str(index)
                    folder.mkdir()
                    command = options.daemon_command or default_daemon_command()
                    cluster = Cluster(deployment, folder, command, disabled, index)
                    clusters[kind] = cluster
                    await _start(cluster, deployment, session)
                    entry = f"node-{ENTRY_SERVICE}-1"
                    urls[kind] = cluster.address(entry, "caller_address")
                server = f"{TARGET_SERVICE}-1"
                urls[DIRECT] = clusters[PATH].address(server, "request_address")
                await _alternate(session, urls, WARM_UP_CALLS)
                before_ms = _processor_ms(clusters)
                latencies_ms = await _alternate(session, urls, options.calls)
                after_ms = _processor_ms(clusters)
                for cluster in clusters.values():
                    await cluster.end()
            finally:
                for cluster in clusters.values():
                    cluster.kill()
    used_ms = {name: after_ms[name] - before_ms[name] for name in after_ms}
    return LatencyRun(latencies_ms, used_ms)


def _processor_ms(clusters: Mapping[str, Cluster]) -> dict[str, float]:
    return {
        f"{kind}, {name}": cluster.processes[name].processor_ms()
        for kind, cluster in clusters.items()
        for name in cluster.entry_nodes()
    }


async def _start(
    cluster: Cluster, deployment: Deployment, session: aiohttp.ClientSession
) -> None:
    await cluster.start()
    setup = TableSetup(session, cluster.operator_addresses(), cluster.token)
    await setup.apply(deployment.operations())
    entries = {
        name: cluster.address(name, "caller_address") for name in cluster.entry_nodes()
    }
    await WarmUp(session, SystemClock()).wait(entries, [TARGET_SERVICE])


async def _alternate(
    session: aiohttp.ClientSession, addresses: Mapping[str, str], calls: int
) -> dict[str, list[float]]:
    latencies: dict[str, list[float]] = {kind: [] for kind in (DIRECT, *addresses)}
    for number in range(calls):
        # The order changes, so that no kind always follows the same other one.
        kinds = list(latencies) if number % 2 else list(latencies)[::-1]
        for kind in kinds:
            latencies[kind].append(await _call(session, addresses[kind], kind))
    return latencies


async def _call(session: aiohttp.ClientSession, address: str, kind: str) -> float:
    clock = SystemClock()
    headers = {"Marjoramstep-Service": TARGET_SERVICE}
    start_ms = clock.now_ms()
    try:
        async with session.get(f"http://{address}/call", headers=headers) as answer:
            await answer.read()
    except aiohttp.ClientError as error:
        raise UnavailableError(
            f"a call failed: {error!r}", step="measure latency", peer=kind
        ) from error
    end_ms = clock.now_ms()
    if answer.status != 200:
        raise UnavailableError(
            f"a call got status {answer.status}", step="measure latency", peer=kind
        )
    return end_ms - start_ms
