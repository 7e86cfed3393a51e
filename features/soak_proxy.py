"""TCP proxy on the loopback interface that harms connections on command."""

import socket
import struct

import gevent
import gevent.event
import gevent.server

READ_BYTES = 65536
CONNECT_SECONDS = 1.0


class Link:
    """One proxied connection."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        # A stale link has lost its path for good, while new ones work.
        self.is_stale = False

    def reset(self) -> None:
        """Reset both ends."""
        for sock in (self.near, self.far):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                continue
            sock.close()


class Proxy:
    """Forwards connections to an address.

    Attributes:
      delay: Seconds by which bytes are late.
      is_cut_up: Whether bytes from callers are swallowed.
      is_cut_down: Whether bytes to callers are swallowed.
      is_down: Whether connections are reset, as on a VM where nothing listens.
    """

    def __init__(self, target: str):
        self.target = target
        self.delay = 0.0
        self.is_cut_up = False
        self.is_cut_down = False
        self.is_down = False
        self.links: set[Link] = set()
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._accept)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _accept(self, near, _address) -> None:
        link = None
        try:
            host, _, port = self.target.rpartition(":")
            far = socket.create_connection((host, int(port)), CONNECT_SECONDS)
            far.settimeout(None)
            link = Link(near, far)
            self.links.add(link)
            if self.is_down:
                return
            down = gevent.spawn(self._pump, link, far, near, is_up=False)
            self._pump(link, near, far, is_up=True)
            down.join()
        except OSError:
            return
        finally:
            if link is None:
                near.close()
            else:
                self.links.discard(link)
                link.reset()

    def _pump(self, link: Link, source, sink, is_up: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay:
                    gevent.sleep(self.delay)
                if link.is_stale or (self.is_cut_up if is_up else self.is_cut_down):
                    continue
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            link.reset()

    def reset_links(self) -> None:
        """Reset all connections that are open."""
        for link in list(self.links):
            link.reset()

    def make_links_stale(self) -> None:
        """Silence the connections that are open, for good."""
        for link in self.links:
            link.is_stale = True

    def take_down(self) -> None:
        """Stop listening and reset what is open."""
        self.is_down = True
        self.server.stop_accepting()
        self.server.close()
        self.reset_links()

    def bring_up(self) -> None:
        """Listen again at the same address."""
        host, _, port = self.address.rpartition(":")
        self.is_down = False
        self.server = gevent.server.StreamServer((host, int(port)), self._accept)
        self.server.start()

    def heal(self) -> None:
        """End all harm but that of stale connections."""
        self.delay, self.is_cut_up, self.is_cut_down = 0.0, False, False
        if self.is_down:
            self.bring_up()
