"""A whole gateway on loopback sockets, with stand-ins for the platform."""

import dataclasses
import itertools
import socket

import gevent

from bronzemux import clock
from bronzemux.gateway import gateway, http1, settings
from bronzemux.platform import assembly, standin_store, standin_worker
from features import ports

HOST = "desk.example"
MODEL = "m1"
KEYS = {"clerks": "key-clerks", "lawyers": "key-lawyers"}
SECONDS = 5.0


def free_address() -> str:
    """Return a free address on the loopback interface."""
    return f"127.0.0.1:{ports.free_port()}"


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": kind == "stream",
        "resumable": False,
        "target_gap_ms": 250,
    } | changes


def configuration(version: int = 1, routes: list[dict] | None = None, **changes) -> dict:
    """Return an operator's configuration."""
    return {
        "version": version,
        "routes": routes
        or [
            route("filing", "unsafe", "app", max_attempts=1),
            route("status", "safe", "app"),
            route("classify", "stream", "lm", resumable=True),
            route("draft", "stream", "lm", max_attempts=1),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 96},
            {
                "name": "lm",
                "health_path": "/health",
                "max_conns": 96,
                "engine": {"slots": 8, "kv_capacity_tokens": 100_000, "models": [{"name": MODEL}]},
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
    } | changes


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got.

    Attributes:
      status: Status, 0 without an answer.
      head: Head of the answer, None without one.
      body: What came of the body.
      is_whole: Whether the answer was complete.
    """

    status: int
    head: http1.Head | None = None
    body: bytes = b""
    is_whole: bool = False


class Site:
    """Store, endpoints and gateways of one scenario."""

    def __init__(self):
        self.store = standin_store.StandInStore()
        self.store.start()
        self.workers: dict[str, standin_worker.StandInWorker] = {}
        self.gateways: list[gateway.Gateway] = []
        self.numbers = itertools.count(1)

    def add_worker(self, identity: str, service: str, weights=None) -> standin_worker.StandInWorker:
        """Start an endpoint and register it."""
        worker = standin_worker.StandInWorker(identity, service, weights)
        worker.start()
        self.workers[identity] = worker
        self.store.put("servers", identity, worker.entry())
        return worker

    def settings(self, **changes) -> settings.GatewaySettings:
        """Return the settings of a further gateway."""
        number = len(self.gateways) + 1
        values = {
            "name": f"vm-{number}",
            "data_centre": "a",
            "ingress_address": free_address(),
            "ready_address": free_address(),
            "directory_address": free_address(),
            "peer_address": free_address(),
            "store_address": self.store.address,
            "seeds": tuple(g.settings.peer_address for g in self.gateways),
        }
        return settings.GatewaySettings(**(values | changes))

    def add_gateway(self, is_waited_for: bool = True, **changes) -> gateway.Gateway:
        """Start a gateway and wait until it takes callers."""
        config = self.settings(**changes)
        made = gateway.Gateway(config, assembly.build_platform(config), clock.BootClock())
        self.gateways.append(made)
        made.start()
        if is_waited_for:
            wait_for(made.is_ready)
        return made

    def stop(self) -> None:
        """End everything."""
        for made in self.gateways:
            made.ingress.server.stop(timeout=0)
            for server in made.admin_servers:
                server.abort()
            made.supervisor.stop()
        for worker in self.workers.values():
            worker.stop()
        self.store.stop()

    def send(
        self, path: str, position: int = 0, method: str = "POST", body: bytes = b"x", **fields
    ) -> Reply:
        """Send a request on a fresh connection and read the answer."""
        with self.connect(position) as sock:
            sock.sendall(self.encode(path, method, body, **fields))
            return read_reply(http1.Channel(sock), method)

    def connect(self, position: int = 0) -> socket.socket:
        """Return a connection to a gateway."""
        host, _, port = self.gateways[position].settings.ingress_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), SECONDS)
        sock.settimeout(SECONDS)
        return sock

    def encode(self, path: str, method: str = "POST", body: bytes = b"x", **fields) -> bytes:
        """Return the bytes of a request; fields of value None are left out."""
        values = {
            "Host": HOST,
            "Request-Id": f"r{next(self.numbers)}",
            "Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEYS['clerks']}",
        }
        if path.startswith(("/classify", "/draft")):
            values |= {"Model": MODEL, "Token-Counts": "100,10", "Prompt-Prefix": "aa:50,bb:50"}
        values |= {name.replace("_", "-"): value for name, value in fields.items()}
        lines = [(name, value) for name, value in values.items() if value is not None]
        if body or method == "POST":
            lines.append(("Content-Length", str(len(body))))
        return http1.encode_head(f"{method} {path} HTTP/1.1", lines) + body


def read_reply(channel: http1.Channel, method: str = "POST") -> Reply:
    """Read one answer as far as it comes."""
    body = bytearray()
    try:
        head = channel.read_head()
        if head is None:
            return Reply(0)
    except http1.EndOfStreamError:
        return Reply(0)
    status = int(head.start_line[1])
    try:
        for piece in channel.iter_body(http1.response_framing(head, method)):
            body += piece
    except http1.EndOfStreamError:
        return Reply(status, head, bytes(body), is_whole=False)
    return Reply(status, head, bytes(body), is_whole=True)


def wait_for(condition, seconds: float = SECONDS) -> None:
    """Wait until a condition holds; fail when it does not in time."""
    # An assertion fails the step; gevent's own timeout would end the whole run.
    with gevent.Timeout(seconds, AssertionError(f"not reached within {seconds:g} s")):
        while not condition():
            gevent.sleep(0.01)
