"""Stand-in model engine with a bounded prefix cache, a prefill queue and injectable faults."""

import collections
import dataclasses
import hashlib
import json
import urllib.parse
from collections.abc import Iterator

import gevent
from gevent import event

from bronzemux import clock as clocks
from bronzemux import (
    engine,
    engine_http,
    http_server,
    prefix,
    prompt,
    standin_cache,
    standin_loader,
    standin_response,
    standin_server,
)

DEFAULT_MAX_TOKENS = 16
MAX_RETAINED_JOBS = 2000
INCARNATION_CHARACTERS = 8
PROMPT_TAIL_BYTES = 24
MAX_TEMPERATURE = 2
HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class StandinSettings:
    """Settings of a stand-in engine.

    Attributes:
      name: Name of the endpoint.
      host: IP address to listen on.
      port: TCP port, 0 for any.
      models: Pairs of the name of a model and its weights version.
      prefill_tokens_per_second: Prefill throughput.
      token_seconds: Time to generate one token.
      slots: Configured number of concurrent requests; the stand-in does not enforce it.
      cache_pieces: Capacity of the prefix cache in pieces.
      piece_bytes: Size of a piece in bytes.
      load_seconds: Time to load weights.
      checks_fencing: Whether orders with an old fencing token are refused.
      software: Version of the engine's software, empty to state none.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    models: tuple[tuple[str, str], ...] = ()
    prefill_tokens_per_second: float = 50_000.0
    token_seconds: float = 0.002
    slots: int = 16
    cache_pieces: int = 1_000
    piece_bytes: int = 4096
    load_seconds: float = 0.8
    checks_fencing: bool = False
    software: str = ""


@dataclasses.dataclass
class Faults:
    """Faults that are being injected.

    Attributes:
      slowness: Factor on the times to prefill, to generate a token and to load weights.
      poison: Text that crashes the engine when a prompt contains it; empty for none.
      dropped_events: Number of cache events to omit from the start of the next state report.
      refuses: Whether new jobs are refused with the outcome not-run.
      retry_after: Value of the header field in which refusals ask for a pause, empty for none.
      refused_at: Monotonic seconds of each refusal.
      skipped_parts: Number of parts still to omit from responses.
      doubled_parts: Number of parts still to send twice.
      crossed_answers: Number of responses still to replace by another request's response.
      crash_after_parts: Parts of a response after which the engine crashes; 0 for never.
      fails_to_load: Whether orders fail.
      mute_after_parts: Parts of a response after which all open connections are muted; 0 for
        never.
    """

    slowness: float = 1.0
    poison: str = ""
    dropped_events: int = 0
    refuses: bool = False
    retry_after: str = ""
    refused_at: list[float] = dataclasses.field(default_factory=list)
    skipped_parts: int = 0
    doubled_parts: int = 0
    crossed_answers: int = 0
    crash_after_parts: int = 0
    fails_to_load: bool = False
    mute_after_parts: int = 0


@dataclasses.dataclass(frozen=True)
class Execution:
    """Record of one started job, for tests that count executions.

    Attributes:
      endpoint: Name of the endpoint.
      incarnation: Identity of the engine's process.
      request_id: Identity of the job.
      idempotency_key: Key of the caller, or empty.
      tail: End of the prompt, at most `PROMPT_TAIL_BYTES`.
    """

    endpoint: str
    incarnation: str
    request_id: str
    idempotency_key: str
    tail: str


class StandinEngine:
    """Engine that responds with deterministic words.

    The words depend on the request and on the engine that began the response. Another engine of the
    same software that continues the response generates the same words, so that tests can detect a
    response that was mixed from two or continued by other software.

    Args:
      settings: Settings.
      clock: Source of time.
      load_counter: Counter of concurrent weight loads that the engines of a deployment share.
      store: KV cache store that they share, None for none.

    Attributes:
      imports: Exporting incarnation and number of pieces of each import.
      executions: Started jobs.
      software: Version of its software, empty to state none; a change is a release.
      restarts: Number of restarts.
      computed_tokens: Prompt tokens that were neither cached nor imported.
      prompt_tokens: Prompt tokens of all jobs.
    """

    def __init__(
        self,
        settings: StandinSettings,
        clock: clocks.Clock,
        load_counter: standin_cache.WeightLoadCounter | None = None,
        store: standin_cache.CacheStore | None = None,
    ):
        self.store = store
        self.imports: list[tuple[str, int]] = []
        self.settings = settings
        self.clock = clock
        self.faults = Faults()
        self.executions: list[Execution] = []
        self.loader = standin_loader.ModelLoader(
            settings.models,
            lambda: self.settings.load_seconds * self.faults.slowness,
            clock,
            load_counter or standin_cache.WeightLoadCounter(),
        )
        self.orders = self.loader.orders
        self.weights = self.loader.weights
        self.software = settings.software
        self.restarts = 0
        self.port = settings.port
        self.is_up = False
        self.computed_tokens = 0
        self.prompt_tokens = 0
        self._reset()

    # Lifecycle

    def _reset(self) -> None:
        digest = hashlib.sha256(f"{self.settings.name}/{self.restarts}".encode()).hexdigest()
        self.incarnation = digest[:INCARNATION_CHARACTERS]
        self.cache = standin_cache.Cache(self.settings.cache_pieces)
        self.jobs: collections.OrderedDict[str, standin_response.JobState] = (
            collections.OrderedDict()
        )
        self.prefill = standin_cache.PrefillQueue()
        self.running = 0
        self.waiting = 0
        self.greenlets: set[gevent.Greenlet] = set()

    def start(self) -> None:
        """Start listening; a restart uses the same port."""
        listener = (self.settings.host, self.port)
        self.server = standin_server.Server(listener, self.application)
        self.server.start()
        self.port = self.server.server_port
        self.is_up = True

    def crash(self) -> None:
        """Crash: close all connections and kill all jobs; `restart` begins with an empty cache."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.abort()
        gevent.killall([g for g in self.greenlets if g is not gevent.getcurrent()], block=False)

    def restart(self) -> None:
        """Start again with an empty cache and a new incarnation."""
        self.restarts += 1
        self._reset()
        self.start()

    def mute_open_connections(self) -> None:
        """Mute all open connections; see `standin_server.Server`."""
        self.server.mute_open_connections()

    # HTTP interface

    def application(self, environ, start_response):
        """Serve one request (WSGI)."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "POST" and path in (prompt.CHAT_PATH, prompt.TEXT_PATH):
            return self._start_job(environ, start_response)
        if path.startswith("/requests/"):
            return self._serve_job(environ, start_response)
        if path == "/state":
            return self._serve_state(environ, start_response)
        if method == "POST" and path == "/orders":
            return self._serve_order(environ, start_response)
        return http_server.respond(start_response, 404, b"{}")

    def _start_job(self, environ, start_response):
        raw = environ["wsgi.input"].read()
        continue_bytes = int(environ.get("HTTP_X_CONTINUE_BYTES", 0))
        body = json.loads(raw[: len(raw) - continue_bytes])
        continue_text = raw[len(raw) - continue_bytes :].decode()
        weights = environ.get("HTTP_X_WEIGHTS_VERSION", "")
        model = str(body.get("model")).partition(":")[0]
        adapter = environ.get("HTTP_X_ADAPTER", "")
        if self.faults.refuses or not self.loader.serves(model, weights, adapter):
            headers = [(engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN)]
            if self.faults.retry_after:
                headers.append(("Retry-After", self.faults.retry_after))
            self.faults.refused_at.append(self.clock.monotonic())
            return http_server.respond(start_response, 503, b'{"error":"refused"}', headers)
        if body.get("temperature", 0) > MAX_TEMPERATURE:
            return http_server.respond(start_response, 400, b'{"error":"temperature above 2"}')
        request_id = environ["HTTP_X_REQUEST_ID"]
        job = self.jobs.get(request_id)
        if job is None:
            job = self._create_job(environ, body, request_id, continue_text)
        return self._respond(environ, start_response, job, 0)

    def _create_job(
        self, environ, body, request_id: str, continue_text: str
    ) -> standin_response.JobState:
        text = prompt.render(environ["PATH_INFO"], body)
        salt = bytes.fromhex(environ.get("HTTP_X_CACHE_SALT", ""))
        chain = prefix.chain(salt, text, self.settings.piece_bytes)
        tokens = prompt.token_estimate(text)
        priority = int(environ.get("HTTP_X_PRIORITY", 5))
        path = environ["PATH_INFO"]
        transfer = engine_http.decode_transfer(
            environ.get("HTTP_X_CACHE_IMPORT", ""), environ.get("HTTP_X_CACHE_EXPORT", "")
        )
        job = standin_response.JobState(
            request_id, path, body, chain, tokens, priority, continue_text, transfer
        )
        self.jobs[request_id] = job
        while len(self.jobs) > MAX_RETAINED_JOBS:
            self.jobs.popitem(last=False)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        tail = text[-PROMPT_TAIL_BYTES:].decode(errors="replace")
        self.executions.append(
            Execution(self.settings.name, self.incarnation, request_id, key, tail)
        )
        if self.faults.poison and self.faults.poison.encode() in text:
            gevent.spawn(self.crash)
            gevent.sleep(0)
        greenlet = gevent.spawn(self._run_job, job)
        self.greenlets.add(greenlet)
        greenlet.rawlink(self.greenlets.discard)
        return job

    def _run_job(self, job: standin_response.JobState) -> None:
        self.waiting += 1
        self.prefill.acquire(job.priority)
        self.running += 1
        try:
            cached = self._compute_prompt(job)
        finally:
            self.waiting -= 1
            self.prefill.release()
        try:
            if not job.is_cancelled:
                self._generate(job, cached)
        finally:
            self.running -= 1

    def _compute_prompt(self, job: standin_response.JobState) -> int:
        """Prefill the prompt of a job and return the number of its tokens that were cached."""
        if job.is_cancelled:
            return 0
        piece_tokens = job.tokens // max(1, len(job.chain)) if job.chain else 0
        piece_tokens = min(piece_tokens, self.settings.piece_bytes // 4)
        matched = self.cache.match_prefix(job.chain)
        cached = matched * piece_tokens
        job.imported_tokens = self._import(job, matched) * piece_tokens
        missing = job.tokens - cached - job.imported_tokens
        self.prompt_tokens += job.tokens
        self.computed_tokens += missing
        rate = self.settings.prefill_tokens_per_second
        self.clock.sleep(missing / rate * self.faults.slowness)
        self.cache.store(job.chain)
        if self.store is not None and job.transfer.export_pieces:
            self.store.put(self.incarnation, job.chain[: job.transfer.export_pieces])
            job.exported_pieces = job.transfer.export_pieces
        return cached

    def _import(self, job: standin_response.JobState, matched: int) -> int:
        """Import pieces from the KV cache store and return their number."""
        transfer = job.transfer
        if self.store is None or transfer.import_pieces <= matched:
            return 0
        stored = self.store.match_prefix(transfer.import_from, job.chain[: transfer.import_pieces])
        count = max(0, stored - matched)
        piece_tokens = self.settings.piece_bytes // 4
        self.clock.sleep(count * piece_tokens / self.store.tokens_per_second)
        self.imports.append((transfer.import_from, count))
        return count

    def _generate(self, job: standin_response.JobState, cached: int) -> None:
        total = int(
            job.body.get("max_completion_tokens")
            or job.body.get("max_tokens")
            or DEFAULT_MAX_TOKENS
        )
        words = job.continue_text.split()
        own_first_word = standin_response.first_word(
            self.settings.name, job.request_id, self.software
        )
        first_word = words[0] if words else own_first_word
        if job.path == prompt.CHAT_PATH and not words:
            self._emit(job, {"role": "assistant", "content": ""}, None)
        for position in range(len(words), total):
            self.clock.sleep(self.settings.token_seconds * self.faults.slowness)
            if job.is_cancelled:
                return
            word = (
                first_word
                if position == 0
                else standin_response.response_word(first_word, position, self.software)
            )
            text = word if position == 0 else " " + word
            self._emit(job, {"content": text}, "length" if position + 1 == total else None)
        self._emit_usage(job, cached, total)
        job.append(engine.DONE)

    def _emit(self, job: standin_response.JobState, delta: dict, finish_reason: str | None) -> None:
        choice = {"index": 0, "finish_reason": finish_reason}
        if job.path == prompt.CHAT_PATH:
            choice["delta"] = delta
        else:
            choice["text"] = delta.get("content", "")
        job.append(self._chunk(job, {"choices": [choice]}))

    def _emit_usage(self, job: standin_response.JobState, cached: int, generated: int) -> None:
        usage = {
            "prompt_tokens": job.tokens,
            "completion_tokens": generated,
            "total_tokens": job.tokens + generated,
            "prompt_tokens_details": {
                "cached_tokens": cached,
                "imported_tokens": job.imported_tokens,
                "exported_pieces": job.exported_pieces,
            },
        }
        job.append(self._chunk(job, {"choices": [], "usage": usage}))

    def _chunk(self, job: standin_response.JobState, fields: dict) -> bytes:
        kind = "chat.completion.chunk" if job.path == prompt.CHAT_PATH else "text_completion"
        created = int(self.clock.now().timestamp())
        chunk = {
            "id": f"cmpl-{job.request_id}",
            "object": kind,
            "created": created,
            "model": job.body.get("model"),
        }
        return json.dumps(chunk | fields, ensure_ascii=False).encode()

    def _respond(self, environ, start_response, job: standin_response.JobState, offset: int):
        if self.faults.crossed_answers > 0:
            self.faults.crossed_answers -= 1
            job = self._other_job(job)
        headers = [
            ("Content-Type", "text/event-stream"),
            (engine_http.HEADER_REQUEST, job.request_id),
            (engine_http.HEADER_INCARNATION, self.incarnation),
        ]
        if self.software:
            headers.append((engine_http.HEADER_SOFTWARE, self.software))
        start_response("200 OK", headers)
        return self._events(environ, job, offset)

    def _other_job(self, job: standin_response.JobState) -> standin_response.JobState:
        """Return another request's job, or an empty, complete one when there is no other."""
        others = [other for other in self.jobs.values() if other is not job]
        if others:
            return others[-1]
        other = dataclasses.replace(job, request_id="crossed", parts=[])
        other.append(engine.DONE)
        return other

    def _events(self, environ, job: standin_response.JobState, offset: int) -> Iterator[bytes]:
        for number, chunk in enumerate(job.read(offset), offset):
            self._trigger_faults_after(number)
            if self.server.is_muted(environ):
                event.Event().wait()
            yield from self._apply_part_faults(number, chunk)

    def _trigger_faults_after(self, number: int) -> None:
        if self.faults.crash_after_parts and number >= self.faults.crash_after_parts:
            self.faults.crash_after_parts = 0
            self.crash()
        if self.faults.mute_after_parts and number >= self.faults.mute_after_parts:
            self.faults.mute_after_parts = 0
            self.mute_open_connections()

    def _apply_part_faults(self, number: int, chunk: bytes) -> Iterator[bytes]:
        """Yield a part not at all, once or twice, as the injected faults require."""
        if number > 0 and self.faults.skipped_parts > 0:
            self.faults.skipped_parts -= 1
            return
        yield chunk
        if self.faults.doubled_parts > 0:
            self.faults.doubled_parts -= 1
            yield chunk

    def _serve_job(self, environ, start_response):
        request_id = environ["PATH_INFO"].removeprefix("/requests/")
        job = self.jobs.get(request_id)
        if job is None:
            return http_server.respond(start_response, 404, b'{"error":"unknown request"}')
        if environ["REQUEST_METHOD"] == "DELETE":
            job.is_cancelled = True
            job.changed.set()
            return http_server.respond(start_response, 200, b"{}")
        offset = int(_query(environ).get("offset", 0))
        return self._respond(environ, start_response, job, offset)

    def _serve_state(self, environ, start_response):
        after = int(_query(environ).get("after", 0))
        events = [item for item in self.cache.events if item[0] > after]
        lost, self.faults.dropped_events = min(len(events), self.faults.dropped_events), 0
        events = events[lost:]
        body = {
            "incarnation": self.incarnation,
            "running": self.running,
            "waiting": self.waiting,
            "first": events[0][0] if events else self.cache.last_sequence + 1,
            "last": self.cache.last_sequence,
            "stored": [f"{key:016x}" for _, key, is_stored in events if is_stored],
            "evicted": [f"{key:016x}" for _, key, is_stored in events if not is_stored],
            "weights": self.weights,
            "adapters": self.loader.adapters,
            "role": self.loader.role,
        }
        if self.software:
            body["software"] = self.software
        return http_server.respond(start_response, 200, json.dumps(body).encode())

    def _serve_order(self, environ, start_response):
        order = engine.Order(**json.loads(environ["wsgi.input"].read()))
        loader = self.loader
        if self.settings.checks_fencing and order.fencing_token < loader.highest_fencing_token:
            headers = [(engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN)]
            body = b'{"error":"old fencing token"}'
            return http_server.respond(start_response, HTTP_CONFLICT, body, headers)
        if self.faults.fails_to_load:
            return http_server.respond(start_response, 500, b'{"error":"weights not loaded"}')
        loader.execute(order)
        return http_server.respond(start_response, 200, b"{}")


def _query(environ) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
