"""Pool of connections to endpoints; idle ones are reused only for requests that may be retried."""

import socket
import weakref

from bronzemux import clock as clocks
from bronzemux import records
from bronzemux.gateway import http1

# Enough for two round trips between data centres and the retransmission of one lost packet.
CONNECT_SECONDS = 0.4
# Data or keepalive probes that stay unacknowledged for this long reveal a VM that has vanished.
# Shorter than the shortest time after which callers abandon a stream.
TCP_USER_TIMEOUT_SECONDS = 1.5
# Longest time that an idle connection is kept, also when the endpoint announces no idle timeout.
MAX_IDLE_SECONDS = 4.0
# Subtracted from the idle timeout that an endpoint announces, so that a connection is not reused
# while the endpoint closes it. Announced timeouts are whole seconds and may be up to 1 s too long.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Fraction of a VM's memory for the responses that are buffered as a whole, and the limit where its
# memory is not known. Copies are made while they are received and sent.
MAX_RESPONSES_MEMORY_FRACTION = 1 / 8
MAX_RESPONSES_BYTES = 128 * 1024 * 1024
# A response of usual length is read also when the budget is spent.
FREE_RESPONSE_BYTES = 64 * 1024
# Limit for each endpoint, whose slots are shared by a few routers.
MAX_IDLE_CHANNELS = 16


class ResponseBudget:
    """Memory for responses that are buffered as a whole, shared by all requests.

    Args:
      memory_bytes: Memory of the VM, 0 when it is not known.

    Attributes:
      limit_bytes: Most bytes that responses may take together.
      taken_bytes: Bytes that they take now.
    """

    def __init__(self, memory_bytes: int):
        fraction = int(memory_bytes * MAX_RESPONSES_MEMORY_FRACTION)
        self.limit_bytes = fraction or MAX_RESPONSES_BYTES
        self.taken_bytes = 0

    def resize(self, before: int, after: int) -> int:
        """Record that a response has grown.

        Args:
          before: Result of the previous call for this response, 0 for the first.
          after: Bytes of the response, 0 when it is no longer in memory.

        Returns:
          Bytes that it takes of the budget.

        Raises:
          http1.TooLargeError: When the budget is spent.
        """
        counted = max(0, after - FREE_RESPONSE_BYTES)
        if counted > before and self.taken_bytes + counted - before > self.limit_bytes:
            raise http1.TooLargeError(
                f"the responses in memory exceed {self.limit_bytes} bytes",
                "check the endpoints, or use VMs with more memory",
            )
        self.taken_bytes += counted - before
        return counted


@records.state
class IdleChannel:
    """An idle connection.

    Attributes:
      channel: The connection.
      expires_at: Monotonic seconds until which it may be reused.
    """

    channel: http1.Channel
    expires_at: float


class ChannelPool:
    """Pool of connections to endpoints.

    Idle connections are kept per incarnation of an endpoint, so a connection is never reused
    for a restarted endpoint.

    Args:
      clock: Source of time.
      memory_bytes: Memory of the VM, 0 when it is not known.
      max_channels: Connections above which idle ones are closed, 0 for no limit.

    Attributes:
      responses: Memory for the responses that are read from the connections.
      open_channels: Connections, some of which may have been closed.
    """

    def __init__(self, clock: clocks.Clock, memory_bytes: int = 0, max_channels: int = 0):
        self.clock = clock
        self.responses = ResponseBudget(memory_bytes)
        self.max_channels = max_channels
        self.open_channels: weakref.WeakSet[http1.Channel] = weakref.WeakSet()
        self.opening = 0
        self.idle: dict[str, list[IdleChannel]] = {}
        self.opened_count = 0

    def acquire(self, incarnation: str) -> http1.Channel | None:
        """Return an idle connection to an incarnation of an endpoint, None when there is none."""
        idle_channels = self.idle.get(incarnation, [])
        while idle_channels:
            entry = idle_channels.pop()
            if entry.expires_at > self.clock.monotonic() and entry.channel.is_open_and_idle():
                return entry.channel
            entry.channel.close()
        return None

    def open(self, address: str) -> http1.Channel:
        """Open a connection.

        Args:
          address: IP address and port.

        Raises:
          OSError: When the connection is not established in time.
        """
        if self.max_channels and len(self.open_channels) + self.opening >= self.max_channels:
            self._make_room()
        host, _, port = address.rpartition(":")
        self.opening += 1
        try:
            sock = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        finally:
            self.opening -= 1
        self.opened_count += 1
        configure_socket(sock)
        channel = http1.Channel(sock)
        self.open_channels.add(channel)
        return channel

    def _make_room(self) -> None:
        """Close the idle connections that expire first until there is room for another one."""
        for channel in [found for found in self.open_channels if found.sock.fileno() < 0]:
            self.open_channels.discard(channel)
        idle = [(entry, entries) for entries in self.idle.values() for entry in entries]
        idle.sort(key=lambda item: item[0].expires_at)
        excess = len(self.open_channels) + self.opening + 1 - self.max_channels
        for entry, entries in idle[: max(0, excess)]:
            entries.remove(entry)
            entry.channel.close()
            self.open_channels.discard(entry.channel)

    def release(self, incarnation: str, channel: http1.Channel, idle_seconds: float | None) -> None:
        """Return a connection to the pool, or close it if it can't carry another request.

        Args:
          incarnation: Incarnation of the endpoint.
          channel: The connection.
          idle_seconds: Idle timeout that the endpoint announced, None when it announced none.
        """
        idle_channels = self.idle.setdefault(incarnation, [])
        idle_limit = (
            MAX_IDLE_SECONDS if idle_seconds is None else idle_seconds - KEEP_ALIVE_MARGIN_SECONDS
        )
        if idle_limit <= 0 or len(idle_channels) >= MAX_IDLE_CHANNELS or not channel.is_reusable():
            channel.close()
            return
        # A pooled connection must not keep the request in memory.
        channel.on_read_timeout = None
        idle_channels.append(
            IdleChannel(channel, self.clock.monotonic() + min(idle_limit, MAX_IDLE_SECONDS))
        )

    def prune(self) -> None:
        """Close idle connections that have expired or are no longer usable."""
        now = self.clock.monotonic()
        for incarnation, idle_channels in list(self.idle.items()):
            usable = [
                entry
                for entry in idle_channels
                if entry.expires_at > now and entry.channel.is_open_and_idle()
            ]
            for entry in idle_channels:
                if entry not in usable:
                    entry.channel.close()
            if usable:
                self.idle[incarnation] = usable
            else:
                del self.idle[incarnation]


def probe(address: str) -> bool:
    """Return whether an address accepts a TCP connection.

    Raises:
      ConnectionRefusedError: When its VM answers that no process listens there.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_SECONDS).close()
    except ConnectionRefusedError:
        raise
    except OSError:
        return False
    return True


def accepts(address: str) -> bool:
    """Return whether an address accepts a TCP connection."""
    try:
        return probe(address)
    except ConnectionRefusedError:
        return False


def refuses(address: str) -> bool:
    """Return whether the VM of an address answers that no process listens there."""
    try:
        probe(address)
    except ConnectionRefusedError:
        return True
    return False


def is_reachable(address: str) -> bool:
    """Return whether an address accepts one of two TCP connections; tolerates one lost packet."""
    return accepts(address) or accepts(address)


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and detect remote VMs that vanish without a reset."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(TCP_USER_TIMEOUT_SECONDS * 1000)
    )
