"""HTTP server of the stand-ins whose open connections can be made to stall."""

import socket

from bronzemux import http_server


class Server(http_server.Server):
    """Server that can stall its open connections for good, while new connections work.

    The application asks `is_muted` and withholds its response on a stalled connection.
    """

    def __init__(self, listener, application):
        super().__init__(listener, application)
        self.muted: set[socket.socket] = set()

    def mute_open_connections(self) -> None:
        """Stall all open connections for good; new connections work."""
        self.muted.update(self.open_sockets)

    def is_muted(self, environ) -> bool:
        """Return whether a request came over a connection that is stalled."""
        peer = (environ["REMOTE_ADDR"], int(environ["REMOTE_PORT"]))
        return any(_peer_name(sock) == peer for sock in self.muted)


def _peer_name(sock: socket.socket):
    try:
        return sock.getpeername()[:2]
    except OSError:
        return None
