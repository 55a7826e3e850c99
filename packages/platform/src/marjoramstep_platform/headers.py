"""Names of the platform's HTTP headers, with the meaning of their values."""

from __future__ import annotations


# Id of one attempt of a client; backend servers echo it.
ATTEMPT_ID = "Attempt-Id"
# Time in milliseconds that the sender still waits, counted from the send.
TIMEOUT_MS = "Timeout-Ms"
# Id of the one server process that may run the request.
EXPECTED_INSTANCE = "Expected-Instance"
# Service on the VM where the request entered the system; set by the entry node.
CALLER_SERVICE = "Caller-Service"
# Present on each success response that a backend server produced; the value is not
# verified.
SERVER_SIGNATURE = "Server-Signature"
# Set by a backend server that did not run the request.
NOT_EXECUTED = "Not-Executed"
# Running requests, waiting requests, slots, and slowness in percent. No node reads it.
SERVER_LOAD = "Server-Load"

# Headers that a node sets on requests to backend servers; those of clients are dropped.
RESERVED_HEADERS = frozenset(
    name.lower() for name in (TIMEOUT_MS, EXPECTED_INSTANCE, CALLER_SERVICE)
)
