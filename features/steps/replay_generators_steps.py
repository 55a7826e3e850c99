"""Steps for the generators of deployments and traces."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path
from typing import Any

from behave import then
from behave import when
from marjoramstep_replay.deployment import read_deployment
from marjoramstep_replay.generators import GenerateOptions
from marjoramstep_replay.generators import generate
from marjoramstep_replay.generators.sizing import Scale
from marjoramstep_replay.generators.sizing import SizedWorkload
from marjoramstep_replay.generators.workload import WORKLOADS
from marjoramstep_replay.outcomes import read_outcomes
from marjoramstep_replay.runner import ReplayOptions
from marjoramstep_replay.runner import check_bounds
from marjoramstep_replay.trace import read_trace


FILES = ("deployment.json", "trace.jsonl", "outcomes.json")


def _generate(context: Any, seed: int) -> Path:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    workload, measure = context.generated_names
    generate(GenerateOptions(workload, measure, folder, seed, 8000.0))
    return folder


@when(
    'the generator writes the "{measure}" measure of the "{workload}" with seed '
    "{seed:d}"
)
def step_generate(context: Any, measure: str, workload: str, seed: int) -> None:
    context.generated_names = (workload, measure)
    context.generated = _generate(context, seed)


@then("the runner accepts the generated files")
def step_accepts(context: Any) -> None:
    paths = [context.generated / name for name in FILES]
    deployment, trace = read_deployment(paths[0]), read_trace(paths[1])
    options = ReplayOptions(paths[0], paths[1], paths[2], context.generated)
    check_bounds(options, trace, deployment, read_outcomes(paths[2]))
    matcher = deployment.matcher()
    for request in trace.requests:
        row = matcher.match(request.service, request.method, request.path)
        assert row.name != "default", request
    servers = {n for s in deployment.services for n in s.server_names()}
    nodes = {f"node-{name}" for name in servers}
    replicas = {f"replica-{number + 1}" for number in range(deployment.replicas)}
    targets = servers | nodes | replicas
    assert {fault.target for fault in trace.faults} <= targets, trace.faults


@then("the generated trace has faults: {answer}")
def step_faults(context: Any, answer: str) -> None:
    trace = read_trace(context.generated / "trace.jsonl")
    assert bool(trace.faults) == (answer == "yes"), trace.faults


@then(
    "the generator writes equal files with seed {same:d} and other files with seed "
    "{other:d}"
)
def step_equal(context: Any, same: int, other: int) -> None:
    first = (context.generated / "trace.jsonl").read_bytes()
    assert (_generate(context, same) / "trace.jsonl").read_bytes() == first
    assert (_generate(context, other) / "trace.jsonl").read_bytes() != first


@then('at full scale the "{workload}" has {sizes}')
def step_sizes(context: Any, workload: str, sizes: str) -> None:
    sized = SizedWorkload(WORKLOADS.get(workload)(), Scale(1.0, 1.0, 1000.0))
    found = {
        service.name: (sized.servers(service), sized.slots(service))
        for service in sized.workload.services
    }
    stated = re.findall(r"(\w+) (\d+) x (\d+)", sizes)
    assert stated, sizes
    for name, servers, slots in stated:
        assert found[name] == (int(servers), int(slots)), found
