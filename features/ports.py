"""Allocation of TCP ports for test processes."""

import itertools
import os
import socket

FIRST_PORT = 12_000
LAST_PORT = 32_000
START_OFFSET_COUNT = 18_000
# More than the ports that one test process takes. Parallel processes have neighbouring ids, and start
# this far apart; otherwise one of them could take a port between the look-up and the use of another.
PORTS_PER_PROCESS = 997
START_PORT = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS % START_OFFSET_COUNT
CANDIDATE_PORTS = itertools.chain(range(START_PORT, LAST_PORT), range(FIRST_PORT, LAST_PORT))


def free_port() -> int:
    """Return a free port below the range of ephemeral ports that the system gives to connections."""
    for port in CANDIDATE_PORTS:
        try:
            socket.create_server(("127.0.0.1", port)).close()
            return port
        except OSError:
            continue
    raise AssertionError("no free port")
