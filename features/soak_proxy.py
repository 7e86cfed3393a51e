"""TCP proxy on the loopback interface that injects network faults."""

import errno
import socket
import struct

import gevent
import gevent.event
import gevent.server

READ_BYTES = 65536
CONNECT_SECONDS = 1.0
BIND_ATTEMPTS = 20
BIND_PAUSE_SECONDS = 0.1


class ProxiedConnection:
    """A connection through the proxy.

    Attributes:
      client: Socket of the client.
      upstream: Socket to the target.
      is_blackholed: Whether bytes are dropped in both directions until the connection ends; new
        connections are not affected.
    """

    def __init__(self, client, upstream):
        self.client = client
        self.upstream = upstream
        self.is_blackholed = False

    def reset(self) -> None:
        """Send a TCP reset to both ends."""
        for sock in (self.client, self.upstream):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                continue
            sock.close()


class Proxy:
    """Proxy that forwards connections to one address.

    Args:
      target: Host and port to forward to.

    Attributes:
      delay_seconds: Delay before each received chunk is forwarded.
      is_dropping_to_target: Whether bytes from clients are dropped.
      is_dropping_to_client: Whether bytes to clients are dropped.
      is_down: Whether the proxy does not listen and resets connections, as on a VM without a
        listener at the port.
      address: Host and port that the proxy listens on.
    """

    def __init__(self, target: str):
        self.target = target
        self.delay_seconds = 0.0
        self.is_dropping_to_target = False
        self.is_dropping_to_client = False
        self.is_down = False
        self.reservation: socket.socket | None = None
        self.connections: set[ProxiedConnection] = set()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._accept)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _accept(self, client, _address) -> None:
        connection = None
        try:
            host, _, port = self.target.rpartition(":")
            upstream = socket.create_connection((host, int(port)), CONNECT_SECONDS)
            upstream.settimeout(None)
            connection = ProxiedConnection(client, upstream)
            self.connections.add(connection)
            if self.is_down:
                return
            to_client = gevent.spawn(
                self._forward, connection, upstream, client, is_to_target=False
            )
            self._forward(connection, client, upstream, is_to_target=True)
            to_client.join()
        except OSError:
            return
        finally:
            if connection is None:
                client.close()
            else:
                self.connections.discard(connection)
                connection.reset()

    def _forward(
        self, connection: ProxiedConnection, source, destination, is_to_target: bool
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_seconds:
                    gevent.sleep(self.delay_seconds)
                if connection.is_blackholed or (
                    self.is_dropping_to_target if is_to_target else self.is_dropping_to_client
                ):
                    continue
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            connection.reset()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()

    def blackhole_connections(self) -> None:
        """Drop all further bytes of the open connections until the connections end."""
        for connection in self.connections:
            connection.is_blackholed = True

    def take_down(self) -> None:
        """Stop listening and reset all open connections."""
        self.is_down = True
        self.server.stop_accepting()
        self.server.close()
        self.reset_connections()
        host, _, port = self.address.rpartition(":")
        self._bind(lambda: self._reserve((host, int(port))))

    def bring_up(self) -> None:
        """Listen again at the same address."""
        host, _, port = self.address.rpartition(":")
        self.is_down = False
        self.reservation.close()
        self._bind(lambda: self._listen((host, int(port))))

    def _reserve(self, address: tuple[str, int]) -> None:
        """Bind a socket that does not listen: it refuses connections, and keeps the port."""
        self.reservation = socket.socket()
        self.reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reservation.bind(address)

    def _listen(self, address: tuple[str, int]) -> None:
        self.server = gevent.server.StreamServer(address, self._accept)
        self.server.start()

    def _bind(self, function) -> None:
        """Call a function that binds a socket, again for a while if the address is in use.

        A process that is just being started may still have a copy of the old socket.
        """
        for attempt in range(BIND_ATTEMPTS):
            try:
                function()
                return
            except OSError as error:
                if attempt == BIND_ATTEMPTS - 1 or error.errno != errno.EADDRINUSE:
                    raise
                gevent.sleep(BIND_PAUSE_SECONDS)

    def clear_faults(self) -> None:
        """End all faults except blackholed connections."""
        self.delay_seconds, self.is_dropping_to_target, self.is_dropping_to_client = (
            0.0,
            False,
            False,
        )
        if self.is_down:
            self.bring_up()
