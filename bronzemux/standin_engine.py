"""Stand-in model engine: a bounded prefix cache, queues, streams, and faults on demand."""

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
KEPT_WORKS = 2000
SUMMARY_LENGTH = 8
TAIL_BYTES = 24
MAX_TEMPERATURE = 2
HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class StandinSettings:
    """Sizes of a stand-in engine.

    Attributes:
      name: Name of the endpoint.
      host: IP number to listen on.
      port: TCP port, 0 for any.
      models: Weights version by model.
      prefill_tokens_per_second: Speed of computing prompts.
      token_seconds: Time of one generated token.
      slots: Requests that run at once.
      cache_pieces: Pieces that the cache holds.
      piece_bytes: Size of a piece.
      load_seconds: Time to load weights.
      checks_fencing: Whether orders with an old fencing token are refused.
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


@dataclasses.dataclass
class Faults:
    """Faults that are in force.

    Attributes:
      slowness: Factor on all times.
      poison: Text whose prompt crashes the engine; empty for none.
      dropped_events: Number of cache events still to lose.
      refuses: Whether new work is refused as not run.
      skipped_parts: Number of parts still to lose on the way to a reader.
      doubled_parts: Number of parts still to send twice.
      crossed_answers: Number of answers still to send under another request's id.
      crash_after_parts: Parts after which the engine crashes; 0 for never.
      fails_to_load: Whether orders to load weights fail.
      mute_after_parts: Parts after which open connections go silent; 0 for never.
    """

    slowness: float = 1.0
    poison: str = ""
    dropped_events: int = 0
    refuses: bool = False
    skipped_parts: int = 0
    doubled_parts: int = 0
    crossed_answers: int = 0
    crash_after_parts: int = 0
    fails_to_load: bool = False
    mute_after_parts: int = 0


@dataclasses.dataclass(frozen=True)
class Execution:
    """One start of a job, for checkers.

    Attributes:
      endpoint: Name of the endpoint.
      incarnation: Process of the engine.
      request_id: Identity of the job.
      idempotency_key: Key of the caller, or empty.
      tail: Last characters of the prompt.
    """

    endpoint: str
    incarnation: str
    request_id: str
    idempotency_key: str
    tail: str


class StandinEngine:
    """Engine that answers with reproducible words.

    The words depend on the prompt and on the engine that began the answer; an answer that is
    continued keeps the style of its beginning, as a model would. Checkers can so tell an answer
    that was mixed from two.

    Args:
      settings: Sizes.
      clock: Source of time.
      loads: Counter of weight loads that the engines of a deployment share.
      store: KV cache store that they share, None for none.
    """

    def __init__(
        self,
        settings: StandinSettings,
        clock: clocks.Clock,
        loads: standin_cache.LoadCounter | None = None,
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
            loads or standin_cache.LoadCounter(),
        )
        self.orders = self.loader.orders
        self.weights = self.loader.weights
        self.restarts = 0
        self.port = settings.port
        self.is_up = False
        self.computed_tokens = 0
        self.prompt_tokens = 0
        self._reset()

    # Life of the process

    def _reset(self) -> None:
        digest = hashlib.sha256(f"{self.settings.name}/{self.restarts}".encode()).hexdigest()
        self.incarnation = digest[:SUMMARY_LENGTH]
        self.cache = standin_cache.Cache(self.settings.cache_pieces)
        self.jobs: collections.OrderedDict[str, standin_response.JobState] = (
            collections.OrderedDict()
        )
        self.prefill = standin_cache.PrefillQueue()
        self.running = 0
        self.waiting = 0
        self.greenlets: set[gevent.Greenlet] = set()

    def start(self) -> None:
        """Listen; the port stays the same over restarts."""
        listener = (self.settings.host, self.port)
        self.server = standin_server.Server(listener, self.application)
        self.server.start()
        self.port = self.server.server_port
        self.is_up = True

    def crash(self) -> None:
        """End at once: connections are cut, work and cache are gone."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.abort()
        gevent.killall([g for g in self.greenlets if g is not gevent.getcurrent()], block=False)

    def restart(self) -> None:
        """Come back with an empty cache and a new incarnation."""
        self.restarts += 1
        self._reset()
        self.start()

    def mute_open_connections(self) -> None:
        """Let the connections that are open go silent for good; new ones work."""
        self.server.mute_open_connections()

    # Interface

    def application(self, environ, start_response):
        """Serve one request (WSGI)."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if method == "POST" and path in (prompt.CHAT_PATH, prompt.TEXT_PATH):
            return self._start_job(environ, start_response)
        if path.startswith("/requests/"):
            return self._request(environ, start_response)
        if path == "/state":
            return self._state(environ, start_response)
        if method == "POST" and path == "/orders":
            return self._order(environ, start_response)
        return http_server.respond(start_response, 404, b"{}")

    def _start_job(self, environ, start_response):
        raw = environ["wsgi.input"].read()
        suffix = int(environ.get("HTTP_X_CONTINUE_BYTES", 0))
        body = json.loads(raw[: len(raw) - suffix])
        continue_text = raw[len(raw) - suffix :].decode()
        weights = environ.get("HTTP_X_WEIGHTS_VERSION", "")
        model = str(body.get("model")).partition(":")[0]
        adapter = environ.get("HTTP_X_ADAPTER", "")
        if self.faults.refuses or not self.loader.serves(model, weights, adapter):
            headers = [(engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN)]
            return http_server.respond(start_response, 503, b'{"error":"refused"}', headers)
        if body.get("temperature", 0) > MAX_TEMPERATURE:
            return http_server.respond(start_response, 400, b'{"error":"temperature above 2"}')
        request_id = environ["HTTP_X_REQUEST_ID"]
        work = self.jobs.get(request_id)
        if work is None:
            work = self._new_work(environ, body, request_id, continue_text)
        return self._answer(environ, start_response, work, 0)

    def _new_work(
        self, environ, body, request_id: str, continue_text: str
    ) -> standin_response.JobState:
        text = prompt.render(environ["PATH_INFO"], body)
        seed = bytes.fromhex(environ.get("HTTP_X_CACHE_SALT", ""))
        chain = prefix.chain(seed, text, self.settings.piece_bytes)
        tokens = prompt.token_estimate(text)
        priority = int(environ.get("HTTP_X_PRIORITY", 5))
        path = environ["PATH_INFO"]
        transfer = engine_http.decode_transfer(
            environ.get("HTTP_X_CACHE_IMPORT", ""), environ.get("HTTP_X_CACHE_EXPORT", "")
        )
        work = standin_response.JobState(
            request_id, path, body, chain, tokens, priority, continue_text, transfer
        )
        self.jobs[request_id] = work
        while len(self.jobs) > KEPT_WORKS:
            self.jobs.popitem(last=False)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        tail = text[-TAIL_BYTES:].decode(errors="replace")
        self.executions.append(
            Execution(self.settings.name, self.incarnation, request_id, key, tail)
        )
        if self.faults.poison and self.faults.poison.encode() in text:
            gevent.spawn(self.crash)
            gevent.sleep(0)
        greenlet = gevent.spawn(self._run, work)
        self.greenlets.add(greenlet)
        greenlet.rawlink(self.greenlets.discard)
        return work

    def _run(self, work: standin_response.JobState) -> None:
        self.waiting += 1
        self.prefill.acquire(work.priority)
        self.running += 1
        try:
            cached = self._compute_prompt(work)
        finally:
            self.waiting -= 1
            self.prefill.release()
        try:
            if not work.is_cancelled:
                self._generate(work, cached)
        finally:
            self.running -= 1

    def _compute_prompt(self, work: standin_response.JobState) -> int:
        """Return the tokens that were cached."""
        if work.is_cancelled:
            return 0
        piece_tokens = work.tokens // max(1, len(work.chain)) if work.chain else 0
        piece_tokens = min(piece_tokens, self.settings.piece_bytes // 4)
        held = self.cache.lookup(work.chain)
        cached = held * piece_tokens
        work.imported_tokens = self._import(work, held) * piece_tokens
        missing = work.tokens - cached - work.imported_tokens
        self.prompt_tokens += work.tokens
        self.computed_tokens += missing
        rate = self.settings.prefill_tokens_per_second
        self.clock.sleep(missing / rate * self.faults.slowness)
        self.cache.store(work.chain)
        if self.store is not None and work.transfer.export_pieces:
            self.store.put(self.incarnation, work.chain[: work.transfer.export_pieces])
            work.exported_pieces = work.transfer.export_pieces
        return cached

    def _import(self, work: standin_response.JobState, held: int) -> int:
        """Import pieces from the KV cache store; return how many."""
        transfer = work.transfer
        if self.store is None or transfer.import_pieces <= held:
            return 0
        stored = self.store.held(transfer.import_from, work.chain[: transfer.import_pieces])
        count = max(0, stored - held)
        piece_tokens = self.settings.piece_bytes // 4
        self.clock.sleep(count * piece_tokens / self.store.tokens_per_second)
        self.imports.append((transfer.import_from, count))
        return count

    def _generate(self, work: standin_response.JobState, cached: int) -> None:
        total = int(
            work.body.get("max_completion_tokens")
            or work.body.get("max_tokens")
            or DEFAULT_MAX_TOKENS
        )
        words = work.continue_text.split()
        style = words[0] if words else f"<{self.settings.name}.{work.request_id}>"
        if work.path == prompt.CHAT_PATH and not words:
            self._emit(work, {"role": "assistant", "content": ""}, None)
        for position in range(len(words), total):
            self.clock.sleep(self.settings.token_seconds * self.faults.slowness)
            if work.is_cancelled:
                return
            word = style if position == 0 else standin_response.response_word(style, position)
            text = word if position == 0 else " " + word
            self._emit(work, {"content": text}, "length" if position + 1 == total else None)
        self._emit_usage(work, cached, total)
        work.append(engine.DONE)

    def _emit(self, work: standin_response.JobState, delta: dict, finish: str | None) -> None:
        choice = {"index": 0, "finish_reason": finish}
        if work.path == prompt.CHAT_PATH:
            choice["delta"] = delta
        else:
            choice["text"] = delta.get("content", "")
        work.append(self._chunk(work, {"choices": [choice]}))

    def _emit_usage(self, work: standin_response.JobState, cached: int, generated: int) -> None:
        usage = {
            "prompt_tokens": work.tokens,
            "completion_tokens": generated,
            "total_tokens": work.tokens + generated,
            "prompt_tokens_details": {
                "cached_tokens": cached,
                "imported_tokens": work.imported_tokens,
                "exported_pieces": work.exported_pieces,
            },
        }
        work.append(self._chunk(work, {"choices": [], "usage": usage}))

    def _chunk(self, work: standin_response.JobState, fields: dict) -> bytes:
        kind = "chat.completion.chunk" if work.path == prompt.CHAT_PATH else "text_completion"
        created = int(self.clock.now().timestamp())
        chunk = {
            "id": f"cmpl-{work.request_id}",
            "object": kind,
            "created": created,
            "model": work.body.get("model"),
        }
        return json.dumps(chunk | fields, ensure_ascii=False).encode()

    def _answer(self, environ, start_response, work: standin_response.JobState, offset: int):
        if self.faults.crossed_answers > 0:
            self.faults.crossed_answers -= 1
            work = self._other_work(work)
        headers = [
            ("Content-Type", "text/event-stream"),
            (engine_http.HEADER_REQUEST, work.request_id),
            (engine_http.HEADER_INCARNATION, self.incarnation),
        ]
        start_response("200 OK", headers)
        return self._events(environ, work, offset)

    def _other_work(self, work: standin_response.JobState) -> standin_response.JobState:
        """Return the work of another request, whose answer crosses this one's."""
        others = [other for other in self.jobs.values() if other is not work]
        if others:
            return others[-1]
        other = dataclasses.replace(work, request_id="crossed", parts=[])
        other.append(engine.DONE)
        return other

    def _events(self, environ, work: standin_response.JobState, offset: int) -> Iterator[bytes]:
        for number, chunk in enumerate(work.read(offset), offset):
            self._fail_after(number)
            if self.server.is_muted(environ):
                event.Event().wait()
            yield from self._disturb(number, chunk)

    def _fail_after(self, number: int) -> None:
        if self.faults.crash_after_parts and number >= self.faults.crash_after_parts:
            self.faults.crash_after_parts = 0
            self.crash()
        if self.faults.mute_after_parts and number >= self.faults.mute_after_parts:
            self.faults.mute_after_parts = 0
            self.mute_open_connections()

    def _disturb(self, number: int, chunk: bytes) -> Iterator[bytes]:
        """Iterate over what reaches the reader of one part."""
        if number > 0 and self.faults.skipped_parts > 0:
            self.faults.skipped_parts -= 1
            return
        yield chunk
        if self.faults.doubled_parts > 0:
            self.faults.doubled_parts -= 1
            yield chunk

    def _request(self, environ, start_response):
        request_id = environ["PATH_INFO"].removeprefix("/requests/")
        work = self.jobs.get(request_id)
        if work is None:
            return http_server.respond(start_response, 404, b'{"error":"unknown request"}')
        if environ["REQUEST_METHOD"] == "DELETE":
            work.is_cancelled = True
            work.changed.set()
            return http_server.respond(start_response, 200, b"{}")
        offset = int(_query(environ).get("offset", 0))
        return self._answer(environ, start_response, work, offset)

    def _state(self, environ, start_response):
        after = int(_query(environ).get("after", 0))
        events = [item for item in self.cache.events if item[0] > after]
        lost, self.faults.dropped_events = min(len(events), self.faults.dropped_events), 0
        events = events[lost:]
        body = {
            "incarnation": self.incarnation,
            "running": self.running,
            "waiting": self.waiting,
            "first": events[0][0] if events else self.cache.last + 1,
            "last": self.cache.last,
            "stored": [f"{key:016x}" for _, key, is_stored in events if is_stored],
            "evicted": [f"{key:016x}" for _, key, is_stored in events if not is_stored],
            "weights": self.weights,
            "adapters": self.loader.adapters,
            "role": self.loader.role,
        }
        return http_server.respond(start_response, 200, json.dumps(body).encode())

    def _order(self, environ, start_response):
        order = engine.Order(**json.loads(environ["wsgi.input"].read()))
        loaded = self.loader
        if self.settings.checks_fencing and order.fencing_token < loaded.highest_fence:
            headers = [(engine_http.HEADER_OUTCOME, engine_http.OUTCOME_NOT_RUN)]
            body = b'{"error":"old fencing token"}'
            return http_server.respond(start_response, HTTP_CONFLICT, body, headers)
        if self.faults.fails_to_load:
            return http_server.respond(start_response, 500, b'{"error":"weights not loaded"}')
        loaded.carry_out(order)
        return http_server.respond(start_response, 200, b"{}")


def _query(environ) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
