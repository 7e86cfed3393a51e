"""Callers that do not behave: a crowd of connections to one gateway process that is watched."""

import dataclasses
import itertools
import json
import os
import pathlib
import socket
import sys
import tempfile
from collections.abc import Callable, Iterator

import gevent
from gevent import subprocess

from bronzemux.gateway import http1
from bronzemux.platform import boot, standin_worker
from features import gateway_support, ports
from features.steps import processes_steps

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEGABYTE = 1_000_000
# Limits of the process, and what the operator allows callers to send.
MEMORY_BYTES = 150 * MEGABYTE
MAX_FILE_DESCRIPTORS = 320
# Descriptors that the platform reserves for files; sockets and pipes share the rest.
RESERVED_FILE_DESCRIPTORS = 200
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4 * 1024 * 1024,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# Within a 64th of the memory, the longest response that a gateway buffers.
LONG_RESPONSE_BYTES = 2 * MEGABYTE
SAMPLE_SECONDS = 0.02
# A caller whose connection was closed comes back after this time.
RETURN_SECONDS = 1.0
# The crowd has settled when it has sent nothing for the first time, or at the end of the second.
QUIET_SECONDS = 0.4
SETTLE_SECONDS = 2.5
PIECE_BYTES = 65536
# Neither the process nor an ordinary caller hangs for so long.
HANG_SECONDS = 30.0


class LongResponseWorker(standin_worker.StandInWorker):
    """Endpoint whose responses to some requests are long."""

    def _send_body(self, channel, request, seal_fields) -> bool:
        if "/long" not in request.target:
            return super()._send_body(channel, request, seal_fields)
        return self._send(channel, 200, bytes(LONG_RESPONSE_BYTES), seal_fields)


class WatchedGateway:
    """A gateway process whose memory and descriptors are sampled.

    Attributes:
      addresses: Addresses by the name in the settings, and that of the metrics.
      start_bytes: Memory in use once it was ready.
      peak_bytes: Most memory in use, with bytes that have arrived at its sockets and were not read.
      peak_sockets: Most sockets and pipes that were open.
      peak_descriptors: Most descriptors that were open.
      failed_samples: Errors of samples that could not be taken.

    Args:
      store_address: Address of the store.
      folder: Folder of its settings and its log.
    """

    def __init__(self, store_address: str, folder: pathlib.Path):
        names = ("front", "ready", "directory", "control", "metrics")
        self.addresses = {name: ("127.0.0.1", ports.free_port()) for name in names}
        listen = {name: f"{host}:{port}" for name, (host, port) in self.addresses.items()}
        settings_path = folder / "settings.json"
        document = {
            "node_name": "vm-1",
            "zone": "a",
            "zones": {"a": "r"},
            "listen": listen,
            "port_range": [self.addresses["metrics"][1], self.addresses["metrics"][1]],
            "limits": {"memory_mb": MEMORY_BYTES // MEGABYTE, "max_fds": MAX_FILE_DESCRIPTORS},
            "platform": {"address": store_address},
        }
        settings_path.write_text(json.dumps(document), encoding="utf-8")
        self.log_path = folder / "gateway.log"
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-S", "bronzemux/cli_launcher.py"],
                cwd=ROOT,
                env={k: v for k, v in os.environ.items() if not k.startswith("BRONZEMUX_")}
                | {
                    boot.PATH_VARIABLE: str(settings_path),
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                process_group=0,
                preexec_fn=processes_steps.end_with_parent,
            )
        self.failed_samples: list[str] = []
        self.start_bytes = self.peak_bytes = self.peak_sockets = self.peak_descriptors = 0
        self.sampler: gevent.Greenlet | None = None

    def wait_until_ready(self) -> None:
        """Wait until the process accepts callers, and begin to sample it."""
        gateway_support.wait_for(lambda: get(self, "ready", "/-/ready").status == 200, HANG_SECONDS)
        self.start_bytes = self.resident_bytes("VmRSS")
        self.sampler = gevent.spawn(self._sample_always)

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.child.poll() is None

    def end(self) -> None:
        """Kill the process."""
        if self.sampler is not None:
            self.sampler.kill()
        if self.is_alive():
            self.child.kill()
            self.child.wait()

    def resident_bytes(self, name: str) -> int:
        """Return a figure of the process's memory, 0 when it does not run.

        Args:
          name: "VmRSS" for the memory in use, "VmHWM" for the most so far.
        """
        try:
            status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        found = [line.split()[1] for line in status.splitlines() if line.startswith(name)]
        return int(found[0]) * 1024 if found else 0

    def unread_bytes(self) -> int:
        """Return the bytes that have arrived at the sockets of the process and were not read."""
        served = {f"{port:04X}" for _, port in self.addresses.values()}
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            is_listening = state == "0A"
            if local.partition(":")[2] in served and not is_listening:
                total += int(queues.partition(":")[2], 16)
        return total

    def sample(self) -> None:
        """Record the current memory and descriptors."""
        folder = f"/proc/{self.child.pid}/fd"
        targets = []
        for name in os.listdir(folder) if self.is_alive() else ():
            try:
                targets.append(os.readlink(f"{folder}/{name}"))
            except OSError:
                continue
        sockets = sum(target.startswith(("socket:", "pipe:")) for target in targets)
        used = self.resident_bytes("VmRSS") + self.unread_bytes()
        self.peak_bytes = max(self.peak_bytes, used, self.resident_bytes("VmHWM"))
        self.peak_sockets = max(self.peak_sockets, sockets)
        self.peak_descriptors = max(self.peak_descriptors, len(targets))

    def _sample_always(self) -> None:
        while self.is_alive():
            try:
                self.sample()
            except OSError as error:
                self.failed_samples.append(str(error))
            gevent.sleep(SAMPLE_SECONDS)


def get(gateway: WatchedGateway, name: str, path: str) -> gateway_support.Reply:
    """Get a page of an administrative address on a new connection."""
    request = f"GET {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n".encode()
    try:
        with socket.create_connection(gateway.addresses[name], HANG_SECONDS) as sock:
            sock.settimeout(HANG_SECONDS)
            sock.sendall(request)
            return gateway_support.read_reply(http1.Channel(sock), "GET")
    except OSError:
        return gateway_support.Reply(0)


@dataclasses.dataclass(frozen=True)
class Target:
    """A path to which a crowd sends.

    Attributes:
      listener: Name of the address.
      path: Path.
      fields: Header fields of an ordinary request to it.
    """

    listener: str
    path: str
    fields: tuple[tuple[str, str], ...] = ()

    def head(self, method: str, number: int, *fields: tuple[str, str]) -> bytes:
        """Return the head of a request.

        Args:
          method: HTTP method.
          number: Distinguishes the requests.
          *fields: Further header fields.
        """
        known = (("Request-Id", f"crowd-{number}"), *self.fields, *fields)
        return http1.encode_head(f"{method} {self.path} HTTP/1.1", known)


ORDINARY_FIELDS = (
    ("Host", gateway_support.HOST),
    ("Deadline-Ms", "15000"),
    ("Authorization", f"Bearer {gateway_support.KEYS['clerks']}"),
)
PROMPT_FIELDS = (("Model", gateway_support.MODEL), ("Token-Counts", "100,10"))
ADMIN_FIELDS = (("Host", "admin"),)
TARGETS = {
    "routes": (
        Target("front", "/filing/1", ORDINARY_FIELDS),
        Target("front", "/draft/1", ORDINARY_FIELDS + PROMPT_FIELDS),
    ),
    "prompts": (Target("front", "/draft/1", ORDINARY_FIELDS + PROMPT_FIELDS),),
    "long responses": (Target("front", "/status/long", ORDINARY_FIELDS),),
    "a path without a route": (Target("front", "/nowhere/1", ORDINARY_FIELDS),),
    "routes and a path without one": (
        Target("front", "/filing/1", ORDINARY_FIELDS),
        Target("front", "/draft/1", ORDINARY_FIELDS + PROMPT_FIELDS),
        Target("front", "/nowhere/1", ORDINARY_FIELDS),
    ),
    "ready": (Target("ready", "/-/ready", ADMIN_FIELDS),),
    "ready, the directory and the metrics": (
        Target("ready", "/-/ready", ADMIN_FIELDS),
        Target("directory", "/-/resolve?zone=a", ADMIN_FIELDS),
        Target("metrics", "/metrics", ADMIN_FIELDS),
    ),
}


def short_of_end(target: Target, number: int, piece_bytes: int) -> Iterator[bytes]:
    """Yield a body of legal size without its last byte, in pieces."""
    count = LIMITS["max_body_bytes"]
    yield target.head("POST", number, ("Content-Length", str(count)))
    for sent in range(0, count - 1, piece_bytes):
        yield bytes(min(piece_bytes, count - 1 - sent))


def chunks_short_of_end(target: Target, number: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yield a body of legal size in chunks, without the last one."""
    yield target.head("POST", number, ("Transfer-Encoding", "chunked"))
    chunk = http1.encode_chunk(bytes(chunk_bytes))
    chunks_per_piece = PIECE_BYTES // chunk_bytes
    for _ in range(LIMITS["max_body_bytes"] // PIECE_BYTES):
        yield chunk * chunks_per_piece


def endless_chunks(target: Target, number: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yield chunks without end."""
    yield target.head("POST", number, ("Transfer-Encoding", "chunked"))
    piece = http1.encode_chunk(bytes(chunk_bytes)) * max(1, PIECE_BYTES // 6 // chunk_bytes)
    yield from itertools.repeat(piece)


def too_long(target: Target, number: int) -> Iterator[bytes]:
    """Yield a body that is far over the limit by its length."""
    count = 1 << 30
    yield target.head("POST", number, ("Content-Length", str(count)))
    for _ in range(count // PIECE_BYTES):
        yield bytes(PIECE_BYTES)


def short_fields(target: Target, number: int) -> Iterator[bytes]:
    """Yield requests of legal size with very many short header fields, the last without its end."""
    base = target.head("POST", number, ("Content-Length", "2"))
    count = (LIMITS["max_header_bytes"] - len(base)) // 4
    head = base[:-2] + b"a:\r\n" * count + b"\r\n"
    for _ in range(64):
        yield head + b"xy"
    yield head + b"x"


def many_parts(target: Target, number: int) -> Iterator[bytes]:
    """Yield requests with prompts of very many parts, the last without its end."""
    base = target.head("POST", number, ("Content-Length", "2"))
    count = (LIMITS["max_header_bytes"] - len(base) - 32) // 12
    for sent in range(64):
        first = (number * 64 + sent) * count
        parts = ",".join(f"{part:09x}:1" for part in range(first, first + count))
        yield target.head("POST", number, ("Content-Length", "2"), ("Prompt-Prefix", parts)) + b"xy"
    yield base + b"x"


def requests_ahead(target: Target, number: int) -> Iterator[bytes]:
    """Yield many requests, whose responses the caller does not read."""
    method = "GET" if target.listener != "front" else "POST"
    for sent in range(200):
        numbers = range(number * 10_000 + sent * 50, number * 10_000 + sent * 50 + 50)
        yield b"".join(target.head(method, n, ("Content-Length", "0")) for n in numbers)


def slow_head(target: Target, number: int) -> Iterator[bytes]:
    """Yield the bytes of a head one by one."""
    for byte in target.head("POST", number, ("Content-Length", "2")) * 100:
        yield bytes((byte,))


def slow_body(target: Target, number: int) -> Iterator[bytes]:
    """Yield three quarters of a body at once, and the rest byte by byte."""
    count = LIMITS["max_body_bytes"]
    yield target.head("POST", number, ("Content-Length", str(count))) + bytes(count * 3 // 4)
    for _ in range(count // 4):
        yield b"x"


def long_response(target: Target, number: int) -> Iterator[bytes]:
    """Yield a request whose response is long."""
    yield target.head("POST", number, ("Content-Length", "0"))


def half_head(target: Target, number: int) -> Iterator[bytes]:
    """Yield half of a head."""
    head = target.head("POST", number, ("Filler", "x" * 12_000))
    yield head[: len(head) // 2]


def part_of_chunk(target: Target, number: int) -> Iterator[bytes]:
    """Yield the size of a long chunk, and three quarters of the chunk."""
    count = LIMITS["max_body_bytes"]
    yield target.head("POST", number, ("Transfer-Encoding", "chunked"))
    yield b"%x\r\n" % count + bytes(count * 3 // 4)


@dataclasses.dataclass(frozen=True)
class Manner:
    """How the callers of a crowd behave.

    Attributes:
      pieces: Returns what a caller sends to a target on one connection.
      pause_seconds: Pause after each piece.
      read_bytes: Bytes that a caller reads after each piece, and then every `SAMPLE_SECONDS`.
    """

    pieces: Callable[[Target, int], Iterator[bytes]]
    pause_seconds: float = 0.0
    read_bytes: int = 0


MANNERS = {
    "bodies short of their end": Manner(lambda t, n: short_of_end(t, n, 1 << 22)),
    "bodies short of their end in small pieces": Manner(lambda t, n: short_of_end(t, n, 4096)),
    "chunks of 1 KiB short of the end": Manner(lambda t, n: chunks_short_of_end(t, n, 1024)),
    "chunks of 1 byte without end": Manner(lambda t, n: endless_chunks(t, n, 1)),
    "chunks of 16 KiB without end": Manner(lambda t, n: endless_chunks(t, n, 16384)),
    "bodies of 1 GiB": Manner(too_long),
    "heads of many short fields": Manner(short_fields),
    "prompts of many parts": Manner(many_parts),
    "requests ahead, reading nothing": Manner(requests_ahead),
    "heads byte by byte": Manner(slow_head, 0.1),
    "bodies byte by byte": Manner(slow_body, 0.1),
    "requests for long responses, reading slowly": Manner(long_response, 0.0, 16),
    "half of a head": Manner(half_head),
    "three quarters of a chunk": Manner(part_of_chunk),
    "nothing": Manner(lambda t, n: iter(())),
}


class Crowd:
    """Callers that misbehave in one manner.

    Args:
      gateway: The process to which they connect.
      targets: What they send to, in turn.
      manner: How they behave.
      count: Number of callers.
    """

    def __init__(
        self, gateway: WatchedGateway, targets: tuple[Target, ...], manner: Manner, count: int
    ):
        self.gateway = gateway
        self.manner = manner
        self.sent_bytes = 0
        self.is_over = False
        self.numbers = itertools.count(1)
        callers = itertools.islice(itertools.cycle(targets), count)
        self.greenlets = [gevent.spawn(self._behave, target) for target in callers]

    def settle(self) -> None:
        """Wait until the crowd has sent nothing for a while, or for as long as it may take."""
        with gevent.Timeout(SETTLE_SECONDS, exception=False):
            before = -1
            while before != self.sent_bytes:
                before = self.sent_bytes
                gevent.sleep(QUIET_SECONDS)

    def leave(self) -> None:
        """Close all connections."""
        self.is_over = True
        gevent.killall(self.greenlets)

    def _behave(self, target: Target) -> None:
        while not self.is_over:
            try:
                with socket.socket() as sock:
                    if self.manner.read_bytes:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    sock.settimeout(HANG_SECONDS)
                    sock.connect(self.gateway.addresses[target.listener])
                    sock.settimeout(None)
                    self._use(sock, target)
            except OSError:
                gevent.sleep(RETURN_SECONDS)

    def _use(self, sock: socket.socket, target: Target) -> None:
        for piece in self.manner.pieces(target, next(self.numbers)):
            sock.sendall(piece)
            self.sent_bytes += len(piece)
            if self.manner.read_bytes:
                sock.recv(self.manner.read_bytes)
            gevent.sleep(self.manner.pause_seconds)
        while is_connected(sock):
            if self.manner.read_bytes:
                sock.recv(self.manner.read_bytes)
            gevent.sleep(SAMPLE_SECONDS)
        gevent.sleep(RETURN_SECONDS)


def is_connected(sock: socket.socket) -> bool:
    """Return whether the other side has not closed or reset the connection."""
    tcp_established = 1
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == tcp_established


def make_folder(context) -> pathlib.Path:
    """Return a temporary folder that is deleted at the end of the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    return pathlib.Path(folder.name)
