"""HTTP server of the stand-ins, whose open connections can go silent."""

import socket

from bronzemux import http_server


class Server(http_server.Server):
    """Server that can let the connections that are open go silent for good; new ones work."""

    def __init__(self, listener, application):
        super().__init__(listener, application)
        self.muted: set[socket.socket] = set()

    def mute_open_connections(self) -> None:
        """Let the connections that are open go silent for good."""
        self.muted.update(self.open_sockets)

    def is_muted(self, environ) -> bool:
        """Return whether a request came over a connection that is silent for good."""
        peer = (environ["REMOTE_ADDR"], int(environ["REMOTE_PORT"]))
        return any(_peer_name(sock) == peer for sock in self.muted)


def _peer_name(sock: socket.socket):
    try:
        return sock.getpeername()[:2]
    except OSError:
        return None
