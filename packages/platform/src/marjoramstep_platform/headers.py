"""Headers of the platform and what they hold."""

from __future__ import annotations


# Id of one attempt of a client; echoed by servers.
ATTEMPT_ID = "Attempt-Id"
# Milliseconds that the sender will wait from now on.
TIMEOUT_MS = "Timeout-Ms"
# Id of the one incarnation that may run the request.
EXPECTED_INSTANCE = "Expected-Instance"
# Service on the VM where the request began; set by the entry node.
CALLER_SERVICE = "Caller-Service"
# Proves that an answer comes from a server.
SERVER_SIGNATURE = "Server-Signature"
# The server states that it did not run the request.
NOT_EXECUTED = "Not-Executed"
# Requests running, requests waiting, slots, and slowness in percent.
SERVER_LOAD = "Server-Load"

# Headers that the system itself sets towards a server.
SET_BY_SYSTEM = frozenset(
    name.lower() for name in (TIMEOUT_MS, EXPECTED_INSTANCE, CALLER_SERVICE)
)
