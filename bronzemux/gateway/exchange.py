"""One attempt at one endpoint: what is sent, what comes back, and how it ended."""

from bronzemux.gateway import (
    cache_index,
    channels,
    endpoints,
    failures,
    http1,
    model,
    placement,
    sse,
)
from bronzemux.gateway import job as jobs

# Longest answer of a plain endpoint that is held in memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Silence after which another endpoint is tried, in objectives of the route and at least this.
PATIENCE_OBJECTIVES = 2.0
# Several times the work of a plain request, so that ordinary ones are not given up.
MIN_PATIENCE_SECONDS = 0.3
# A stream's objective is a few times the reading of a mean prompt; an endpoint that is silent for
# four of them has a queue or does not work.
STREAM_PATIENCE_OBJECTIVES = 4.0
# Callers give a stream up after two seconds without an event; half of it is left to go on.
MAX_GAP_SECONDS = 1.2
# A gigabyte reaches the cache store in about 50 ms, behind another one at most.
SAVE_SECONDS = 0.1


class Exchange:
    """One attempt at one endpoint; owned by the greenlet of the request.

    Args:
      parts: What the requests share.
      job: The request.
      choice: Where it goes.
      caller: `ingress.CallerConnection`.
      routers: Routers that share the retry budget.
    """

    def __init__(
        self, parts: jobs.Parts, job: jobs.Job, choice: placement.Choice, caller, routers: int
    ):
        self.parts = parts
        self.routers = routers
        self.clock = parts.clock
        self.job = job
        self.choice = choice
        self.state: endpoints.EndpointState = choice.state
        self.caller = caller
        self.backlog = choice.read_tokens
        self.started_at = parts.clock.monotonic()
        self.channel: http1.Channel | None = None
        self.kept = False

    def settle_backlog(self) -> None:
        """Count the prompt as read."""
        self.state.backlog_tokens = max(0.0, self.state.backlog_tokens - self.backlog)
        self.backlog = 0.0

    def run(self):
        """Send the request and pass the answer on; return how it ended."""
        try:
            self.channel = self._connect()
        except OSError as error:
            self.parts.reachability.report(self.state, str(error))
            return failures.NotRun("unreachable", is_sent=False)
        self.state.attempts.add(self)
        try:
            return self._exchange()
        except TimeoutError:
            return failures.MayHaveRun("silent")
        except http1.EndOfStreamError as error:
            return failures.MayHaveRun("lost", is_crash=error.is_reset)
        except http1.FramingError:
            return failures.MayHaveRun("garbled")
        finally:
            self.state.attempts.discard(self)
            if not self.kept:
                self.channel.close()

    def end_silent(self) -> None:
        """End the attempt as its endpoint is down, if the request can go on elsewhere."""
        if self._can_repeat() or self.choice.backup is not None:
            self.channel.shutdown()

    def _connect(self) -> http1.Channel:
        channel = None
        if self.job.route.is_idempotent:
            channel = self.parts.pool.acquire(self.state.endpoint.incarnation)
        return channel or self.parts.pool.open(self.state.endpoint.address)

    def _exchange(self):
        job, choice = self.job, self.choice
        directives = model.Directives(
            endpoint=self.state.endpoint,
            remaining_seconds=job.deadline_at - self.clock.monotonic(),
            team=job.team.name if job.team else "",
            urgency=job.rank if choice.weights is not None else None,
            weights=choice.weights,
            cache_salt=choice.salt,
            fetch_from=choice.fetch_from,
            save_to=choice.save_to,
            last_event_id=job.last_event_id,
            backup_to=choice.backup.endpoint.address if choice.backup else "",
            is_continuation=choice.is_continuation,
        )
        if choice.weights is not None and not choice.is_continuation:
            self._expect_cache()
        data = self.parts.protocol.encode_request(job.request, directives)
        patience = self._patience()
        if choice.backup is not None:
            self.channel.on_read_timeout = self._is_worth_waiting
        job.is_sent = True
        is_sent = self.channel.send_until_response(data, patience)
        head = self.channel.read_head()
        while head is not None and head.start_line[1].startswith("1"):
            head = self.channel.read_head()
        if head is None:
            return failures.MayHaveRun("lost", is_crash=True)
        self.state.heard_at = self.clock.monotonic()
        framing = http1.response_framing(head, job.request.method)
        answer = self.parts.protocol.decode_response(head)
        if answer.request_id not in (None, job.request.id):
            return failures.MayHaveRun("crossed")
        if answer.is_not_executed:
            return self._rejected(answer, framing, is_sent)
        if not answer.is_success:
            body = self.channel.read_body(framing, MAX_ANSWER_BYTES)
            self._keep(answer, framing, is_sent)
            return self._failed(answer, body)
        if not answer.is_sealed or answer.request_id is None:
            return failures.MayHaveRun("unsealed")
        if job.route.kind is model.RouteKind.STREAM:
            return self._stream(answer, framing)
        body = self.channel.read_body(framing, MAX_ANSWER_BYTES)
        self._keep(answer, framing, is_sent)
        self.state.record_answer(self.clock.monotonic() - self.started_at)
        self._deliver(answer, body)
        return failures.Delivered(answer.status)

    def _patience(self) -> float:
        """Return the seconds of silence after which the attempt counts as failed.

        What cannot be sent again is waited for until the deadline ends it. A model endpoint that
        has much to do is silent for long; one that is gone is noticed by its connection.
        """
        left = self._left()
        if not self._can_repeat():
            return left if self.choice.backup is None else min(left, MAX_GAP_SECONDS)
        objective, expected = self.job.route.objective_seconds, self.choice.expected_seconds
        if self.job.route.kind is model.RouteKind.STREAM:
            return min(left, max(STREAM_PATIENCE_OBJECTIVES * objective, 3 * expected))
        return min(left, max(MIN_PATIENCE_SECONDS, PATIENCE_OBJECTIVES * objective, 2 * expected))

    def _is_worth_waiting(self) -> bool:
        """Return whether a silent endpoint that has a backup is still there."""
        if self.job.deadline_at - self.clock.monotonic() < jobs.LEAST_SECONDS:
            return False
        return channels.is_reachable(self.state.endpoint.address)

    def _can_repeat(self) -> bool:
        """Return whether another attempt could follow if this one failed now."""
        job, now = self.job, self.clock.monotonic()
        if not job.route.is_idempotent or job.runs + 1 >= job.route.max_attempts:
            return False
        return self.parts.budget.left(job.service, self.routers, now) >= 1

    def _rejected(self, answer: model.ResponseHead, framing: http1.Framing, is_sent: bool):
        if answer.weights is not None and self.job.request.prompt is not None:
            self.state.learn_weights(self.job.request.prompt.model, answer.weights)
        self.channel.read_body(framing, MAX_ANSWER_BYTES)
        self._keep(answer, framing, is_sent)
        if self.choice.weights is not None and not self.choice.is_continuation:
            self._forget_expected()
        cause = "misdirected" if answer.is_misdirected else f"rejected with {answer.status}"
        return failures.NotRun(cause, is_sent=True)

    def _failed(self, answer: model.ResponseHead, body: bytes):
        if answer.status >= 500 and self.job.route.is_idempotent:
            return failures.MayHaveRun(f"failed with {answer.status}", answer, body)
        if answer.status >= 500:
            self.state.record_failure(self.clock.monotonic())
        if self.job.is_started:
            return failures.MayHaveRun(f"failed with {answer.status}")
        self._deliver(answer, body)
        return failures.Delivered(answer.status)

    def _keep(self, answer: model.ResponseHead, framing: http1.Framing, is_sent: bool) -> None:
        if is_sent and not answer.is_closing and not framing.is_close_delimited:
            self.kept = True
            self.parts.pool.release(
                self.state.endpoint.incarnation, self.channel, answer.idle_seconds
            )

    def _deliver(self, answer: model.ResponseHead, body: bytes) -> None:
        self.job.first_at = self.clock.monotonic()
        deliver(self.parts, self.job, self.caller, answer, body)

    # Streams

    def _stream(self, answer: model.ResponseHead, framing: http1.Framing):
        buffer = sse.EventBuffer()
        has_first = False
        for piece in self.channel.iter_body(framing):
            self.state.heard_at = self.clock.monotonic()
            events = buffer.feed(piece)
            if events and not has_first:
                has_first = True
                self._first_event(answer)
            self._pass_on(answer, events)
        if buffer.rest:
            return failures.MayHaveRun("cut inside an event")
        if not self.job.is_started:
            self._begin(answer)
        self._keep(answer, framing, True)
        self.caller.send(http1.LAST_CHUNK)
        return failures.Delivered(answer.status)

    def _first_event(self, answer: model.ResponseHead) -> None:
        now = self.clock.monotonic()
        self.settle_backlog()
        prompt = self.job.request.prompt
        if (
            prompt is not None
            and self.choice.weights is not None
            and not self.choice.is_continuation
        ):
            self.state.record_first_event(now - self.started_at, self.choice.expected_seconds)
            self._learn_weights(prompt, answer)
        has_other = self._can_repeat() or self.choice.backup is not None
        gap = MAX_GAP_SECONDS if has_other else self._left()
        self.channel.sock.settimeout(min(gap, self._left()))

    def _left(self) -> float:
        return max(jobs.LEAST_SECONDS, self.job.deadline_at - self.clock.monotonic())

    def _learn_weights(self, prompt: model.Prompt, answer: model.ResponseHead) -> None:
        if answer.weights is not None:
            self.state.learn_weights(prompt.model, answer.weights)
        store = self.parts.knowledge.configuration.cache_store(self.choice.save_to)
        if store is not None:
            room = int(store.cache_tokens * cache_index.CACHE_SHARE)
            self._note_prefixes(store.cache_store, room, SAVE_SECONDS)

    def _expect_cache(self) -> None:
        """Note the prompt's prefixes at the endpoint before it has read them.

        Requests with the same prefix that come meanwhile then join it there.
        """
        service = self.parts.knowledge.configuration.services.get(self.job.service)
        if service is not None and service.engine is not None:
            room = int(service.engine.cache_tokens * cache_index.CACHE_SHARE)
            seconds = self.choice.expected_seconds
            self._note_prefixes(self.state.endpoint.incarnation, room, seconds)

    def _note_prefixes(self, holder: str, room: int, seconds: float) -> None:
        ready_at = self.clock.monotonic() + seconds
        before = 0
        for key, tokens in self._prefix_keys():
            item = cache_index.News(key, tokens - before, holder, ready_at)
            self.parts.index.add(item, room, is_own=True)
            before = tokens

    def _prefix_keys(self) -> list[tuple[bytes, int]]:
        parts = self.job.request.prompt.shared_parts
        return cache_index.prefix_keys(self.choice.salt, parts)

    def _forget_expected(self) -> None:
        """Take back what `_expect_cache` noted, as the endpoint did not read the prompt."""
        for key, _ in self._prefix_keys():
            self.parts.index.drop(self.state.endpoint.incarnation, key)

    def _begin(self, answer: model.ResponseHead) -> None:
        self.job.is_started = True
        self.job.first_at = self.clock.monotonic()
        extra = [("Transfer-Encoding", "chunked"), *self.caller.connection_fields()]
        self.caller.send(self.parts.protocol.encode_response(answer, self.job.request, extra))

    def _pass_on(self, answer: model.ResponseHead, events: list[bytes]) -> None:
        out = bytearray()
        for event in events:
            number = sse.event_id(event)
            known = self.job.last_event_id
            if number is not None:
                if known is not None and number <= known:
                    continue
                self.job.last_event_id = number
            out += http1.encode_chunk(event)
        if not out:
            return
        if not self.job.is_started:
            self._begin(answer)
        self.caller.send(bytes(out))


def deliver(
    parts: jobs.Parts, job: jobs.Job, caller, answer: model.ResponseHead, body: bytes
) -> None:
    """Send a whole answer of an endpoint to the caller."""
    job.is_started = True
    fields = []
    if answer.status not in http1.BODILESS_STATUSES:
        fields.append(("Content-Length", str(len(body))))
    extra = [*fields, *caller.connection_fields()]
    data = parts.protocol.encode_response(answer, job.request, extra)
    caller.send(data if job.request.method == "HEAD" else data + body)
