"""TCP proxy with which a test interrupts the connections between two processes."""

import socket

import gevent

READ_BYTES = 65536


class Link:
    """Forwards TCP connections to a port; can drop all data without closing the connections.

    Args:
      port: TCP port on loopback to forward to.
    """

    def __init__(self, port: int):
        self.target = ("127.0.0.1", port)
        self.is_dropping = False
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.greenlets = [gevent.spawn(self._accept)]

    @property
    def address(self) -> str:
        """Return the IP address and port that the proxy listens on."""
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        while True:
            source, _ = self.listener.accept()
            self.sockets.append(source)
            self.greenlets.append(gevent.spawn(self._connect, source))

    def _connect(self, source: socket.socket) -> None:
        try:
            target = socket.create_connection(self.target)
        except OSError:
            source.close()
            return
        self.sockets.append(target)
        self.greenlets.append(gevent.spawn(self._copy, source, target))
        self._copy(target, source)

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not self.is_dropping:
                    target.sendall(data)
        except OSError:
            return
        finally:
            if not self.is_dropping:
                source.close()
                target.close()

    def close(self) -> None:
        """Stop forwarding and close all sockets."""
        gevent.killall(self.greenlets)
        for item in (self.listener, *self.sockets):
            item.close()
