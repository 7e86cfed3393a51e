"""Support for scenarios with complete gateways on loopback sockets and a stand-in platform."""

import dataclasses
import datetime
import itertools
import socket

import gevent

from bronzemux import clock, quarantine
from bronzemux.gateway import crash_attribution, endpoints, gateway, http1, meters, settings
from bronzemux.platform import assembly, standin_store, standin_worker
from features import ports

HOST = "desk.example"
MODEL = "m1"
KEYS = {"clerks": "key-clerks", "lawyers": "key-lawyers"}
TIMEOUT_SECONDS = 5.0


def free_address() -> str:
    """Return a free address on the loopback interface."""
    return f"127.0.0.1:{ports.free_port()}"


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration.

    Args:
      name: Name; the path prefix is derived from it.
      kind: Value of a `model.RouteKind`.
      service: Service that serves the route.
      **changes: Fields that differ from the default.
    """
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
    """Return an operator's configuration.

    Args:
      version: Version of the configuration.
      routes: Its routes, None for the default routes.
      **changes: Fields that differ from the default.
    """
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


def replaced_engines() -> dict:
    """Return the routes and services of a configuration that replaces the service "lm" by another."""
    document = configuration()
    app, engines = document["services"]
    for item in document["routes"]:
        item["service"] = item["service"].replace("lm", "lm-new")
    return {"routes": document["routes"], "services": [app, engines | {"name": "lm-new"}]}


@dataclasses.dataclass(frozen=True)
class Reply:
    """Response as seen by a caller.

    Attributes:
      status: HTTP status, 0 when there was no response.
      head: Head of the response, None when there was no response.
      body: The part of the body that was received.
      is_whole: Whether the response was complete.
    """

    status: int
    head: http1.Head | None = None
    body: bytes = b""
    is_whole: bool = False


class SteppedClock(clock.BootClock):
    """Clock of a VM whose time of day is wrong.

    Attributes:
      step_seconds: Seconds by which its time of day is ahead.
    """

    def __init__(self, step_seconds: float = 0.0):
        self.step_seconds = step_seconds

    def now(self) -> datetime.datetime:
        """Return the wrong UTC time."""
        return super().now() + datetime.timedelta(seconds=self.step_seconds)


class Site:
    """The store, the endpoints and the gateways of one scenario."""

    def __init__(self):
        self.store = standin_store.StandInStore()
        self.store.start()
        self.workers: dict[str, standin_worker.StandInWorker] = {}
        self.gateways: list[gateway.Gateway] = []
        self.numbers = itertools.count(1)

    def add_worker(
        self, identity: str, service: str, weights=None, software: str = "v1"
    ) -> standin_worker.StandInWorker:
        """Start a stand-in endpoint and register it in the store."""
        worker = standin_worker.StandInWorker(identity, service, weights, software)
        worker.start()
        self.workers[identity] = worker
        self.store.put("servers", identity, worker.entry())
        return worker

    def configure(self, **changes) -> None:
        """Put the next version of the configuration, and wait until the gateways have it.

        Args:
          **changes: Fields that differ from the default.
        """
        version = self.gateways[0].cluster_state.configuration.version + 1
        self.store.put("op", "config", configuration(version, **changes))
        for found in self.gateways:
            wait_for(lambda state=found.cluster_state: state.configuration.version == version)

    def settings(self, **changes) -> settings.GatewaySettings:
        """Return the settings of the next gateway.

        Args:
          **changes: Settings that differ from the default.
        """
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

    def add_gateway(self, is_ready_expected: bool = True, **changes) -> gateway.Gateway:
        """Start a gateway.

        Args:
          is_ready_expected: Whether to wait until it accepts callers.
          **changes: Settings that differ from the default.
        """
        started = start_gateway(self.settings(**changes))
        self.gateways.append(started)
        if is_ready_expected:
            wait_for(started.is_ready)
        return started

    def restart_gateway(self, index: int, step_seconds: float = 0.0) -> gateway.Gateway:
        """Start a gateway that was stopped, with the same settings and nothing in memory.

        Args:
          index: Index of the gateway.
          step_seconds: Seconds by which the clock of its VM is ahead.
        """
        started = start_gateway(self.gateways[index].settings, step_seconds)
        self.gateways[index] = started
        wait_for(started.is_ready)
        return started

    def stop(self) -> None:
        """Stop the gateways, the endpoints and the store."""
        for started in self.gateways:
            stop_gateway(started)
        for worker in self.workers.values():
            worker.stop()
        self.store.stop()

    def send(
        self, path: str, index: int = 0, method: str = "POST", body: bytes = b"x", **fields
    ) -> Reply:
        """Send a request on a new connection and read the response.

        Args:
          path: Path of the request.
          index: Index of the gateway.
          method: HTTP method.
          body: Body of the request.
          **fields: Header fields, as for `encode`.
        """
        with self.connect(index) as sock:
            sock.sendall(self.encode(path, method, body, **fields))
            return read_reply(http1.Channel(sock), method)

    def connect(self, index: int = 0) -> socket.socket:
        """Return a connection to a gateway."""
        host, _, port = self.gateways[index].settings.ingress_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), TIMEOUT_SECONDS)
        sock.settimeout(TIMEOUT_SECONDS)
        return sock

    def encode(self, path: str, method: str = "POST", body: bytes = b"x", **fields) -> bytes:
        """Encode a request.

        Args:
          path: Path of the request.
          method: HTTP method.
          body: Body of the request.
          **fields: Header fields that are added or replaced, with underscores for hyphens; None
            omits a field.
        """
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


def crash_attribution_of(now_clock: clock.Clock) -> crash_attribution.CrashAttribution:
    """Return the attribution of crashes of a gateway that knows no endpoints and has met no crash."""
    return crash_attribution.CrashAttribution(
        now_clock,
        quarantine.Quarantine(),
        endpoints.EndpointTable(),
        None,
        meters.GatewayMetrics(),
        lambda: None,
    )


def start_gateway(config: settings.GatewaySettings, step_seconds: float = 0.0) -> gateway.Gateway:
    """Start a gateway.

    Args:
      config: Its settings.
      step_seconds: Seconds by which the clock of its VM is ahead.
    """
    found_clock = SteppedClock(step_seconds)
    started = gateway.Gateway(config, assembly.build_platform(config), found_clock)
    started.start()
    return started


def stop_gateway(started: gateway.Gateway) -> None:
    """Stop a gateway at once."""
    started.ingress.server.stop(timeout=0)
    for server in started.admin_servers:
        server.abort()
    started.supervisor.stop()


def read_reply(
    channel: http1.Channel,
    method: str = "POST",
    body_errors=(http1.EndOfStreamError,),
    is_enough=lambda body: False,
) -> Reply:
    """Read one response, or the part of it that arrives.

    Args:
      channel: The connection.
      method: Method of the request.
      body_errors: Errors after the head that end the response instead of being raised.
      is_enough: Returns whether to read no more of the body after a part of it.
    """
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
            if is_enough(body):
                return Reply(status, head, bytes(body), is_whole=False)
    except body_errors:
        return Reply(status, head, bytes(body), is_whole=False)
    return Reply(status, head, bytes(body), is_whole=True)


def wait_for(condition, seconds: float = TIMEOUT_SECONDS) -> None:
    """Wait until a condition holds; fail when it does not hold in time."""
    # An AssertionError fails only the step; gevent's own timeout would abort the whole run.
    with gevent.Timeout(seconds, AssertionError(f"not reached within {seconds:g} s")):
        while not condition():
            gevent.sleep(0.01)
