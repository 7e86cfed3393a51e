"""Limit on the connections of callers, which leaves descriptors for endpoints, peers and the store.

It answers the load of callers that connect and send nothing or little: when there is no room, the
connection that has been idle for longest makes room for a new one, then the one that has received
least of its request. The module does no I/O.
"""

import collections
import enum
from collections.abc import Callable

from bronzemux import records

# Fraction of the sockets for peers, the store and the listening sockets, and the least number of
# these. The others are shared evenly by callers and endpoints, as each request takes one of both.
OWN_SOCKETS_FRACTION = 1 / 8
MIN_OWN_SOCKETS = 16


class Stage(enum.Enum):
    """What a connection does; the first ones are closed first."""

    IDLE = 0
    READING = 1
    SERVING = 2


@records.state
class Connection:
    """An open connection of a caller.

    Attributes:
      close: Closes it to make room for another one, unless a new request has arrived on it; returns
        whether it did.
      since: Monotonic seconds at which its stage began.
      stage: What it does.
      received_bytes: Bytes of the request that it reads.
    """

    close: Callable[[], bool]
    since: float
    stage: Stage = Stage.IDLE
    received_bytes: int = 0

    def enter(self, stage: Stage, now: float) -> None:
        """Record that it enters a stage.

        Args:
          stage: What it does from now on.
          now: Monotonic seconds.
        """
        self.stage, self.since, self.received_bytes = stage, now, 0


class ConnectionLimit:
    """Connections of callers to all addresses of a process.

    Args:
      max_sockets: Sockets that the process may open.

    Attributes:
      max_connections: Most connections of callers.
      max_endpoint_channels: Connections to endpoints, above which idle ones are closed.
      connections: All connections, the oldest first.
      closed: Connections that were closed for lack of room, by their stage, and "rejected" new ones.
    """

    def __init__(self, max_sockets: int):
        own = max(MIN_OWN_SOCKETS, int(max_sockets * OWN_SOCKETS_FRACTION))
        self.max_connections = max(1, (max_sockets - own) // 2)
        self.max_endpoint_channels = self.max_connections
        self.connections: dict[Connection, None] = {}
        self.closed: collections.Counter[str] = collections.Counter()

    def open(self, close: Callable[[], bool], now: float) -> Connection | None:
        """Return a new connection, None when there is no room for it.

        Args:
          close: See `Connection`.
          now: Monotonic seconds.
        """
        if len(self.connections) >= self.max_connections and not self._make_room():
            self.closed["rejected"] += 1
            return None
        connection = Connection(close, now)
        self.connections[connection] = None
        return connection

    def has(self, connection: Connection) -> bool:
        """Return whether a connection is open and has not made room for another one."""
        return connection in self.connections

    def remove(self, connection: Connection | None) -> None:
        """Record that a connection is closed; None is one that found no room."""
        self.connections.pop(connection, None)

    def pop_closed(self) -> dict[str, int]:
        """Return the connections that were closed for lack of room since the last call."""
        closed, self.closed = dict(self.closed), collections.Counter()
        return closed

    def _make_room(self) -> bool:
        """Close the connection that is idle for longest or least advanced; return whether any is."""
        candidates = sorted(
            (found for found in self.connections if found.stage is not Stage.SERVING),
            key=lambda found: (found.stage.value, found.received_bytes, found.since),
        )
        for found in candidates:
            if found.close():
                self.remove(found)
                self.closed[found.stage.name.lower()] += 1
                return True
        return False
