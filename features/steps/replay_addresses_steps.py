"""Steps for reserved addresses."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
from marjoramstep_core.addresses import split_address
from marjoramstep_replay.launch.addresses import lowest_ephemeral_port
from marjoramstep_replay.launch.addresses import reserve_addresses


@when("{count:d} addresses are reserved")
def step_reserve(context: Any, count: int) -> None:
    context.addresses = reserve_addresses(count)


@then("the reserved addresses are different")
def step_different(context: Any) -> None:
    assert len(set(context.addresses)) == len(context.addresses)


@then("no reserved port is in the range of outgoing connections")
def step_below(context: Any) -> None:
    ports = [split_address(address)[1] for address in context.addresses]
    assert max(ports) < lowest_ephemeral_port(), max(ports)
