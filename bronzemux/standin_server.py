"""HTTP server of the stand-ins that can mute its open connections."""

import socket

from bronzemux import http_server


class Server(http_server.Server):
    """Server that can mute its open connections.

    A muted connection stays open, but nothing more is sent on it; new connections are not affected.
    The application has to check `is_muted` before it sends.
    """

    def __init__(self, listener, application):
        super().__init__(listener, application)
        self.muted: set[socket.socket] = set()

    def mute_open_connections(self) -> None:
        """Mute all open connections permanently."""
        self.muted.update(self.open_sockets)

    def is_muted(self, environ) -> bool:
        """Return whether a request was received on a muted connection."""
        peer = (environ["REMOTE_ADDR"], int(environ["REMOTE_PORT"]))
        return any(_peer_name(sock) == peer for sock in self.muted)


def _peer_name(sock: socket.socket):
    try:
        return sock.getpeername()[:2]
    except OSError:
        return None
