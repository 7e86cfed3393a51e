"""Connections to endpoints, kept for requests that may be repeated."""

import dataclasses
import socket

from bronzemux import clock as clocks
from bronzemux.gateway import http1

# An accepting endpoint completes a connection within two round trips between data centres;
# the rest is a lost packet that the system sends again.
CONNECT_SECONDS = 0.4
# Unacknowledged data or probes for this long end a connection to a VM that is gone: below the
# shortest time after which callers give a stream up.
DEAD_SECONDS = 1.5
# Kept connections are used up to this age without a stated limit, and never within the margin
# of the stated one, in which the endpoint may be closing them.
IDLE_SECONDS = 4.0
# Stated limits are whole seconds, so the endpoint may close up to one earlier.
IDLE_MARGIN_SECONDS = 1.0
# Kept connections an endpoint: its slots divided among a few routers.
MAX_IDLE = 16


@dataclasses.dataclass
class Idle:
    """A kept connection and the time until which it is used."""

    channel: http1.Channel
    until: float


class ChannelPool:
    """Connections to endpoints.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.idle: dict[str, list[Idle]] = {}
        self.opened = 0

    def acquire(self, incarnation: str) -> http1.Channel | None:
        """Return a kept connection to an endpoint's lifetime, None when there is none."""
        kept = self.idle.get(incarnation, [])
        while kept:
            item = kept.pop()
            if item.until > self.clock.monotonic() and item.channel.is_quiet():
                return item.channel
            item.channel.close()
        return None

    def open(self, address: str) -> http1.Channel:
        """Connect to an address.

        Raises:
          OSError: When no connection is made in time.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        self.opened += 1
        guard(sock)
        return http1.Channel(sock)

    def release(self, incarnation: str, channel: http1.Channel, idle_seconds: float | None) -> None:
        """Keep a connection whose answer was read to its end."""
        kept = self.idle.setdefault(incarnation, [])
        allowed = IDLE_SECONDS if idle_seconds is None else idle_seconds - IDLE_MARGIN_SECONDS
        if allowed <= 0 or len(kept) >= MAX_IDLE or not channel.is_quiet():
            channel.close()
            return
        kept.append(Idle(channel, self.clock.monotonic() + min(allowed, IDLE_SECONDS)))

    def prune(self) -> None:
        """Close the connections that are no longer used."""
        now = self.clock.monotonic()
        for incarnation, kept in list(self.idle.items()):
            fresh = [item for item in kept if item.until > now and item.channel.is_quiet()]
            for item in kept:
                if item not in fresh:
                    item.channel.close()
            if fresh:
                self.idle[incarnation] = fresh
            else:
                del self.idle[incarnation]


def accepts(address: str) -> bool:
    """Return whether an address accepts a connection."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_SECONDS).close()
    except OSError:
        return False
    return True


def is_reachable(address: str) -> bool:
    """Return whether an address accepts one of two connections: one packet may be lost."""
    return accepts(address) or accepts(address)


def guard(sock: socket.socket) -> None:
    """Send small messages at once, and notice a VM that is gone without a reset."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(DEAD_SECONDS * 1000))
