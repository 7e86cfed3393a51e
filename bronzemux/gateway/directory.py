"""HTTP pages for readiness, the directory of routers, and metrics."""

from collections.abc import Callable

from bronzemux import http_server
from bronzemux.gateway import routers

# Two thirds of the longest effective lifetime of a directory response. Callers that use a response
# for three times its lifetime thus still refresh it before a router that shuts down exits.
TTL_SECONDS = 1.5


class DirectoryFormat:
    """Interface to the wire format of the directory."""

    path = ""
    ready_path = ""

    def decode_query(self, query: str) -> str:
        """Return the data centre of the caller from a query string."""
        raise NotImplementedError

    def encode(self, addresses: list[str], ttl_seconds: float) -> bytes:
        """Return the response body that lists addresses and their lifetime."""
        raise NotImplementedError


class ManagementApp:
    """WSGI application that serves the readiness check, the directory and the metrics.

    Args:
      wire_format: Wire format of the directory.
      table: Known routers.
      is_ready: Returns whether this router accepts callers.
      expose: Returns the metrics in the Prometheus text format.
      clock: Source of time.
      ttl_limit_seconds: Longest lifetime of a directory response.
    """

    def __init__(
        self,
        wire_format: DirectoryFormat,
        table: routers.RouterTable,
        is_ready: Callable[[], bool],
        expose: Callable[[], bytes],
        clock,
        ttl_limit_seconds: float,
    ):
        self.wire_format = wire_format
        self.table = table
        self.is_ready = is_ready
        self.expose = expose
        self.clock = clock
        self.ttl_seconds = min(TTL_SECONDS, ttl_limit_seconds)

    def __call__(self, environ, start_response):
        """Respond to one request."""
        path = environ["PATH_INFO"]
        if path == self.wire_format.path:
            return self._directory(environ.get("QUERY_STRING", ""), start_response)
        if path == self.wire_format.ready_path:
            status = 200 if self.is_ready() else 503
            return http_server.respond(start_response, status, b"")
        if path == "/metrics":
            headers = [("Content-Type", "text/plain; version=0.0.4")]
            return http_server.respond(start_response, 200, self.expose(), headers)
        return http_server.respond(start_response, 404, b"")

    def _directory(self, query: str, start_response):
        data_centre = self.wire_format.decode_query(query)
        addresses = self.table.addresses(data_centre, self.clock.monotonic())
        if not addresses:
            return http_server.respond(start_response, 503, b"")
        headers = [("Content-Type", "application/json")]
        body = self.wire_format.encode(addresses, self.ttl_seconds)
        return http_server.respond(start_response, 200, body, headers)
