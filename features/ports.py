"""Allocation of TCP ports for test processes."""

import itertools
import os
import socket

FIRST_PORT = 12_000
LAST_PORT = 32_000
START_OFFSET_COUNT = 18_000
# The start depends on the process id, so that parallel test processes try different ports.
CANDIDATE_PORTS = itertools.chain(
    range(FIRST_PORT + os.getpid() % START_OFFSET_COUNT, LAST_PORT), range(FIRST_PORT, LAST_PORT)
)


def free_port() -> int:
    """Return a free port below the range of ephemeral ports that the system gives to connections."""
    for port in CANDIDATE_PORTS:
        try:
            socket.create_server(("127.0.0.1", port)).close()
            return port
        except OSError:
            continue
    raise AssertionError("no free port")
