"""Stand-in platform: table service, object store and VM list over HTTP, with injectable faults."""

import dataclasses
import urllib.parse

import cbor2
from gevent import event

from bronzemux import clock as clocks
from bronzemux import (
    errors,
    http_server,
    object_store,
    standin_server,
    store_version,
    table,
    vms,
)


@dataclasses.dataclass
class Faults:
    """Faults that are being injected.

    Attributes:
      is_down: Whether all connections are cut before each operation.
      lost_answers: Number of further writes that take effect but get no response.
      delay_seconds: Delay before each operation.
    """

    is_down: bool = False
    lost_answers: int = 0
    delay_seconds: float = 0.0


class StandinPlatform:
    """Services of the platform on one port.

    Args:
      clock: Source of time.
      port: TCP port, 0 for any.
    """

    def __init__(self, clock: clocks.Clock, port: int = 0):
        self.clock = clock
        self.port = port
        self.table = table.MemoryTable()
        self.objects = object_store.MemoryObjectStore()
        self.vms = vms.MemoryVmList()
        self.faults = Faults()

    def start(self) -> None:
        """Start listening."""
        self.server = standin_server.Server(("127.0.0.1", self.port), self.application)
        self.server.start()
        self.port = self.server.server_port

    def mute_open_connections(self) -> None:
        """Mute all open connections; see `standin_server.Server`."""
        self.server.mute_open_connections()

    def stop(self) -> None:
        """Close all connections and stop listening."""
        self.server.abort()

    def application(self, environ, start_response):
        """Serve one request (WSGI)."""
        body = environ["wsgi.input"].read()
        if self.server.is_muted(environ):
            event.Event().wait()
        if self.faults.delay_seconds:
            self.clock.sleep(self.faults.delay_seconds)
        if self.faults.is_down:
            return self._cut_connections()
        status, response_body, is_write = self._execute(environ, body)
        if is_write and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return self._cut_connections()
        headers = [(table.ERA_HEADER, str(self.table.era))]
        return http_server.respond(start_response, status, response_body, headers)

    def _cut_connections(self):
        for sock in list(self.server.open_sockets):
            http_server.shutdown_socket(sock)
        return []

    def _execute(self, environ, body: bytes) -> tuple[int, bytes, bool]:
        """Execute an operation; return status, body and whether the operation is a write."""
        path = environ["PATH_INFO"]
        if path == "/vms":
            items = [dataclasses.asdict(vm) for vm in self.vms.list()]
            return 200, cbor2.dumps(items), False
        if path.startswith("/objects/"):
            return self._execute_object(environ["REQUEST_METHOD"], path, body)
        return self._execute_table(path.removeprefix("/table/"), cbor2.loads(body))

    def _execute_object(self, method: str, path: str, body: bytes) -> tuple[int, bytes, bool]:
        name = urllib.parse.unquote(path.removeprefix("/objects/"))
        if method == "PUT":
            self.objects.put(name, body)
            return 200, b"", True
        if method == "DELETE":
            self.objects.delete(name)
            return 200, b"", True
        content = self.objects.get(name)
        return (404, b"", False) if content is None else (200, content, False)

    def _execute_table(self, operation: str, body) -> tuple[int, bytes, bool]:
        if operation == "read":
            rows = self.table.read(body)
            return 200, cbor2.dumps([_encode_row(row) if row else None for row in rows]), False
        if operation == "scan":
            rows = self.table.scan(*body)
            return 200, cbor2.dumps([_encode_row(row) for row in rows]), False
        try:
            self.table.transact([self._decode_write(*item) for item in body])
        except errors.WriteConflictError as error:
            return 200, cbor2.dumps(list(error.keys)), True
        return 200, cbor2.dumps([]), True

    def _decode_write(self, key: str, number: int, value: bytes | None) -> table.Write:
        """Return the write of a request; the service compares numbers of writes, not eras."""
        is_absent = number == table.ABSENT
        expected = number if is_absent else store_version.combine(self.table.era, number)
        return table.Write(key, expected, value)


def _encode_row(row: table.Row) -> list:
    return [row.key, store_version.number_of(row.version), row.value]
