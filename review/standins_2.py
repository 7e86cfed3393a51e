"""Stand-ins for the platform, its workers and its clients, and the start of gateway processes.

Standard library only. The store and the clients run in the process of a case; each worker runs in a
process of its own, so that it can be killed. All addresses are loopback addresses.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
MODEL = "m1"
HEARTBEAT_SECONDS = 1.2
STORE_ERA = "1"
# Time of one transaction in the store.
TRANSACTION_SECONDS = 0.003


def free_ports(count: int) -> list[int]:
    """Return free TCP ports below the range that the system gives to outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12_000, 32_000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """Log of what was sent, answered and run, in `record.txt` of a case's folder."""

    def __init__(self, folder: pathlib.Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Add a line with the seconds since the start."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self.file.write(f"{seconds:9.3f} {text}\n")
        self.file.flush()


# HTTP


async def read_head(reader):
    """Return start line and fields (lower-case names) of a message, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields) -> bytes:
    """Return the body of a request."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def head(start: str, fields) -> bytes:
    """Encode the head of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encode a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# The platform's store


class Store:
    """The platform's store: rows, change feed and conditional transactions."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.address = ""
        # Called with (path, query or body) before a call is answered.
        self.before_answer = None

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, document) -> None:
        """Write a row as the operator or a worker does."""
        self.version += 1
        self._apply(table, key, self.version, json.dumps(document).encode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self.rows:
            self.version += 1
            self._apply(table, key, self.version, None)

    def _apply(self, table, key, version, value) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (version, value)
        self.history.append((table, key, version, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (found := await read_head(reader)) is not None:
                start, fields = found
                method, target, _ = start.split(" ")
                body = await read_body(reader, fields)
                path, _, query = target.partition("?")
                status, document = await self._dispatch(
                    path, dict(urllib.parse.parse_qsl(query)), body
                )
                if self.before_answer is not None:
                    await self.before_answer(path, body)
                data = json.dumps(document).encode()
                sent = [("Content-Length", len(data)), ("Store-Era", STORE_ERA)]
                writer.write(head(f"HTTP/1.1 {status} X", sent) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _dispatch(self, path, query, body):
        if path == "/-/rows-get":
            return 200, self._get(query)
        if path == "/-/rows-feed":
            return 200, await self._feed(query)
        if path == "/-/rows-tx":
            await asyncio.sleep(TRANSACTION_SECONDS)
            return self._transact(json.loads(body))
        return 404, {}

    def _document(self, table, key, version, value) -> dict:
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _state(self) -> dict:
        return {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _get(self, query) -> dict:
        start, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        keys = sorted(k for t, k in self.rows if t == query["table"])
        keys = [k for k in keys if k >= start and (end is None or k < end)]
        rows = [self._document(query["table"], k, *self.rows[(query["table"], k)]) for k in keys]
        return {"rows": rows[:limit], "has_more": len(rows) > limit} | self._state()

    async def _feed(self, query) -> dict:
        after, table = int(query["after"]), query["table"]
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [self._document(*c) for c in self.history if c[2] > after and c[0] == table]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                return {"rows": found} | self._state()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body):
        conflicts = []
        for item in body.get("expected", ()):
            version = self.rows.get((item["table"], item["key"]), (0, b""))[0]
            if version != item["row_version"]:
                conflicts.append(self._document(item["table"], item["key"], version, b""))
        if conflicts:
            return 412, {"rows": conflicts} | self._state()
        self.version += 1
        for item in body.get("puts", ()):
            value = base64.b64decode(item["value"])
            self._apply(item["table"], item["key"], self.version, value)
        for item in body.get("remove", ()):
            self._apply(item["table"], item["key"], self.version, None)
        return 200, self._state()


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": kind == "stream",
        "resumable": False,
        "target_gap_ms": 250,
    } | changes


def configuration(
    routes, services, version: int = 1, tenants=("clerks", "lawyers"), isolated=()
) -> dict:
    """Return an operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [f"key-{name}"], "isolated": name in isolated}
            for name in tenants
        ],
    }


# Gateways


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, folder: pathlib.Path, zone: str = "z-a", memory=150):
        self.name, self.folder = name, folder
        front, ready, control, directory, metrics = free_ports(5)
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.control = f"127.0.0.1:{control}"
        self.settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serving_roles": ["front", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "zones": {"z-a": "r", "z-b": "r", "z-c": "r"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
                "directory": f"127.0.0.1:{directory}",
            },
            "port_range": [metrics, metrics],
            "seeds": [self.control],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": memory,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": {
                "stable_window_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_ms": 2000,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_slack": 52,
                "lease_ms": 3000,
                "thaw_ms": 300,
                "version_ms": 10000,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": store,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "txn_ms": 3.0,
                "part_writes_s": 300,
                "row_bytes": 65536,
                "cross_shard": True,
                "retention_s": 20,
            },
        }
        self.process = None

    async def start(self, seeds=()) -> None:
        """Start the process."""
        self.settings["seeds"] = list(seeds) or [self.control]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        added = {"PYTHONPATH": str(ROOT / "target" / "deps"), "BRONZEMUX_BOOT": str(path)}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "bronzemux/cli_launcher.py",
                cwd=ROOT,
                env=kept | added,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until the process answers that it is ready."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            reply = await send(self.ready, "GET", "/-/ready", [], timeout=1.0)
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_alive():
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of the process's log that contain a word."""
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return [line for line in lines if word in line]


# Clients


@dataclasses.dataclass
class Reply:
    """Answer as a client sees it."""

    status: int = 0
    fields: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    sent_at: float = 0.0
    first_at: float | None = None
    ended_at: float = 0.0

    def event_ids(self) -> list[int]:
        """Return the ids of the complete events of a stream."""
        events = self.body.split(b"\n\n")[:-1]
        return [int(event.split(b"\n")[0].partition(b":")[2]) for event in events]


class Channel:
    """Connection of a client, which may carry several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def connect(address: str) -> Channel:
    """Return a connection."""
    host, _, port = address.rpartition(":")
    return Channel(*await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0))


async def send(
    address: str, method: str, path: str, fields, body: bytes = b"", timeout=10.0, channel=None
) -> Reply:
    """Send a request, on a new connection unless one is given, and read the answer."""
    reply = Reply(sent_at=time.monotonic())
    own = channel is None
    try:
        channel = channel or await connect(address)
        sent = [("Host", HOST), *fields]
        if body or method == "POST":
            sent.append(("Content-Length", len(body)))
        channel.writer.write(head(f"{method} {path} HTTP/1.1", sent) + body)
        await asyncio.wait_for(_read_reply(channel.reader, reply), timeout)
    except TimeoutError:
        reply.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        reply.error = f"{type(error).__name__}: {error}"
    finally:
        reply.ended_at = time.monotonic()
        if own and channel is not None:
            channel.close()
    return reply


async def _read_reply(reader, reply: Reply) -> None:
    found = await read_head(reader)
    if found is None:
        raise ConnectionResetError("closed without an answer")
    start, reply.fields = found
    reply.status = int(start.split(" ")[1])
    if reply.fields.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
            if reply.first_at is None:
                reply.first_at = time.monotonic()
            reply.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        reply.body = await reader.readexactly(int(reply.fields.get("content-length", "0")))
    reply.is_complete = True


def request_fields(request_id: str, deadline_ms: int, tenant: str = "clerks", prompt="", tokens=""):
    """Return the header fields of a client's request."""
    fields = [
        ("Request-Id", request_id),
        ("Deadline-Ms", deadline_ms),
        ("Authorization", f"Bearer key-{tenant}"),
    ]
    if prompt:
        fields += [("Model", MODEL), ("Token-Counts", tokens), ("Prompt-Prefix", prompt)]
    return fields


# Workers


class WorkerProcess:
    """A worker in a process of its own, and its entry in the store."""

    def __init__(self, identity: str, service: str, store: Store, record: Record, **options):
        self.identity, self.service = identity, service
        self.store, self.record = store, record
        self.options = {"identity": identity, "model": "", "weights": 1, "kv": 106752} | options
        self.process = None
        self.born = 0
        self.sequence = 0
        self.address = ""
        self.events: list[dict] = []
        self.on_event = lambda event: None
        self.tasks = []
        self.is_registered = True

    async def start(self) -> None:
        """Start the process and write its entry."""
        self.born = int(time.time() * 1000)
        options = self.options | {"born": self.born}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            str(pathlib.Path(__file__).resolve()),
            json.dumps(options),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        first = json.loads(await self.process.stdout.readline())
        self.address = f"127.0.0.1:{first['port']}"
        self.sequence = 0
        self.tasks = [
            asyncio.ensure_future(self._read_events(self.process)),
            asyncio.ensure_future(self._beat(self.process)),
        ]

    async def _read_events(self, process) -> None:
        while line := await process.stdout.readline():
            event = json.loads(line)
            self.events.append(event)
            details = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("t", "event"))
            self.record.write(f"{self.identity} {event['event']} {details}", event["t"])
            self.on_event(event)
        self.record.write(f"{self.identity} ended with {await process.wait()}")

    async def _beat(self, process) -> None:
        while process.returncode is None and self.is_registered:
            self.sequence += 1
            self.store.put("servers", self.identity, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def entry(self, state: str = "ready") -> dict:
        """Return the entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.options.get("zone", "z-a"),
            "version": self.options.get("software", "s1"),
            "slots": self.options.get("slots", 64),
            "state": state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.options["model"]:
            model = {"name": MODEL, "version": self.options["weights"], "adapters": []}
            entry |= {"stage": "colocated", "models": [model]}
        return entry

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Worker:
    """What runs in the process of a worker; writes one JSON line for each event.

    Options: `event_seconds` between the events of a stream, `events` of a stream, `deadly_part` at
    which the process dies after `deadly_events` whole events of the answer, `is_unframed` for
    answers that end with their connection, `finishes` for a worker that makes all events of a stream
    although its connection has closed, `prefill_tokens_per_ms` for prompts whose parts are kept,
    `work_seconds` and `body_bytes` of a plain answer.
    """

    def __init__(self, options: dict):
        self.options = options
        self.sequence = 0
        # Tenant whose request read each kept part, by salt and the parts up to it.
        self.kept: dict[tuple[str, ...], str] = {}
        self.prefill = asyncio.Lock()

    def report(self, event: str, **details) -> None:
        """Write an event to the case."""
        print(json.dumps({"t": time.monotonic(), "event": event} | details), flush=True)

    async def run(self) -> None:
        """Serve until the process is killed, or the case has ended."""
        parent = os.getppid()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        print(json.dumps({"port": server.sockets[0].getsockname()[1]}), flush=True)
        while os.getppid() == parent:
            await asyncio.sleep(0.5)

    async def _serve(self, reader, writer) -> None:
        try:
            while (found := await read_head(reader)) is not None:
                start, fields = found
                body = await read_body(reader, fields)
                if not await self._answer(start, fields, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, start, fields, body, reader, writer) -> bool:
        target = start.split(" ")[1]
        if target == "/-/report":
            document = json.dumps(self._status()).encode()
            writer.write(head("HTTP/1.1 200 OK", [("Content-Length", len(document))]) + document)
            return True
        own = self.options["identity"]
        request_id = fields.get("request-id", "")
        if fields.get("target-instance", own) != own:
            writer.write(
                head("HTTP/1.1 421 X", [("Request-Id", request_id), ("Content-Length", 0)])
            )
            return True
        if target.startswith("/-/"):
            writer.write(head("HTTP/1.1 400 X", [("Content-Length", 0)]))
            return True
        if "kv-from" in fields:
            refused = [("Request-Id", request_id), ("Not-Executed", "1"), ("Content-Length", 0)]
            writer.write(head("HTTP/1.1 503 X", refused))
            return True
        self.report(
            "runs",
            id=request_id,
            path=target,
            tenant=fields.get("tenant", ""),
            last=fields.get("last-event-id", ""),
            salt=fields.get("cache-salt", ""),
        )
        if self.options["model"]:
            return await self._stream(fields, reader, writer)
        return await self._plain(fields, writer)

    def _status(self) -> dict:
        models = []
        if self.options["model"]:
            models = [{"name": MODEL, "version": self.options["weights"], "adapters": []}]
        return {
            "stage": "colocated",
            "models": models,
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": self.options["kv"],
            "handles": 0,
            "born": self.options["born"],
        }

    def _head(self, fields, framing) -> bytes:
        own = self.options["identity"]
        request_id = fields["request-id"]
        sealed = [("Request-Id", request_id), ("Response-Seal", f"{own}.{request_id}")]
        return head("HTTP/1.1 200 OK", [*sealed, *framing])

    async def _stream(self, fields, reader, writer) -> bool:
        is_unframed = self.options.get("is_unframed", False)
        framing = [("Connection", "close")] if is_unframed else [("Transfer-Encoding", "chunked")]
        framing += [("Content-Type", "text/event-stream")]
        framing += [("Weight-Versions", self.options["weights"])]
        parts = [p.partition(":")[0] for p in fields.get("prompt-prefix", "").split(",")]
        is_deadly = self.options.get("deadly_part") in parts
        first = int(fields.get("last-event-id", "0")) + 1
        if "prefill_tokens_per_ms" in self.options:
            await self._read_prompt(fields)
        else:
            await asyncio.sleep(self.options.get("prefill_seconds", 0.02))
        writer.write(self._head(fields, framing))
        for number in range(first, self.options.get("events", 8) + 1):
            if is_deadly and number == first + self.options.get("deadly_events", 0):
                await writer.drain()
                self.report("crashes", id=fields["request-id"])
                os.kill(os.getpid(), signal.SIGKILL)
            event = f"id: {number}\ndata: token-{number}\n\n".encode()
            if self.options.get("finishes", False):
                self.report("makes", id=fields["request-id"], number=number)
                if not writer.is_closing() and not reader.at_eof():
                    writer.write(chunk(event))
            else:
                writer.write(event if is_unframed else chunk(event))
                await writer.drain()
                if reader.at_eof() or writer.is_closing():
                    return False
            await asyncio.sleep(self.options.get("event_seconds", 0.03))
        if is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.report("completes", id=fields["request-id"])
        return True

    async def _read_prompt(self, fields) -> None:
        """Read the parts of a prompt that are not kept, one request after the other."""
        tenant = fields.get("tenant", "")
        async with self.prefill:
            key = (fields.get("cache-salt", ""),)
            makers, tokens = [], 0
            for entry in fields["prompt-prefix"].split(","):
                part, _, count = entry.partition(":")
                key = (*key, part)
                if key in self.kept:
                    makers.append(f"{part}:{self.kept[key]}")
                    continue
                tokens += int(count)
                await asyncio.sleep(int(count) / self.options["prefill_tokens_per_ms"] / 1000)
                self.kept[key] = tenant
            self.report("reads", id=fields["request-id"], tenant=tenant, tokens=tokens, kept=makers)

    async def _plain(self, fields, writer) -> bool:
        body = plain_body(fields["request-id"], self.options.get("body_bytes", 800))
        await asyncio.sleep(self.options.get("work_seconds", 0.03))
        if not self.options.get("is_unframed", False):
            writer.write(self._head(fields, [("Content-Length", len(body))]) + body)
            await writer.drain()
            return True
        writer.write(self._head(fields, [("Connection", "close")]))
        step = max(1, len(body) // 10)
        for offset in range(0, len(body), step):
            writer.write(body[offset : offset + step])
            await writer.drain()
            await asyncio.sleep(self.options.get("piece_seconds", 0.02))
        self.report("completes", id=fields["request-id"])
        return False


def plain_body(request_id: str, count: int) -> bytes:
    """Return the whole body of a plain answer to a request."""
    text = f"{request_id} ".encode()
    return (text * (count // len(text) + 1))[:count]


# Cases


def run_case(file: str, case) -> None:
    """Run a case; exit with 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
      file: Path of the case's program; its folder gets the record.
      case: Called with the record, a temporary folder and whether there is a disruption; a
        coroutine function that returns whether the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(file).resolve().parent)
    record.write(f"start, disruption: {'yes' if has_trouble else 'no'}")
    children: list = []

    def kill_children() -> None:
        for child in children:
            if child.process is not None and child.process.returncode is None:
                child.process.kill()

    def end() -> None:
        """End the processes also when the case itself is ended."""
        kill_children()
        os._exit(2)

    async def main() -> int:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
        with tempfile.TemporaryDirectory() as folder:
            try:
                seconds = 110.0
                is_broken = await asyncio.wait_for(
                    case(record, pathlib.Path(folder), has_trouble, children), seconds
                )
                return 1 if is_broken else 0
            except Exception as error:  # noqa: BLE001 - any failure of the case itself
                record.write(f"the case couldn't run: {type(error).__name__}: {error}")
                return 2
            finally:
                kill_children()
                for child in children:
                    if child.process is not None:
                        await child.process.wait()

    status = asyncio.run(main())
    words = {0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}
    record.write(f"exit {status}: {words[status]}")
    print(f"{words[status]}; see record.txt", flush=True)
    os._exit(status)


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
