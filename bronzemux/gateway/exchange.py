"""One attempt to serve a request at one endpoint."""

from collections.abc import Callable

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

# Longest response that is buffered in memory; streams are not. On a VM with little memory it is the
# given fraction of that.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_RESPONSE_MEMORY_FRACTION = 1 / 64
# Lowest status that is not one of an interim response.
FINAL_STATUS = 200
# Most interim responses before the final one.
MAX_INTERIM_RESPONSES = 16
# Time without a response after which another endpoint is tried, as a multiple of the route's
# latency objective.
RESPONSE_TIMEOUT_OBJECTIVES = 2.0
# Minimum time without a response after which another endpoint is tried: several times the service
# time of a plain request, so that a normal one is not aborted.
MIN_RESPONSE_TIMEOUT_SECONDS = 0.3
# Time without a first event of a stream after which another endpoint is tried, as a multiple of the
# objective. The objective of a stream is a few times the prefill time of a mean prompt; an endpoint
# that sends nothing for four objectives has a queue or does not work.
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4.0
# Callers abandon a stream after 2 s without an event; the remaining 0.8 s are left to continue it
# at another endpoint.
MAX_EVENT_GAP_SECONDS = 1.2
# Saving 1 GB to the cache store takes about 50 ms, after waiting for at most one other transfer.
STORE_SAVE_SECONDS = 0.1


class Exchange:
    """One attempt at one endpoint; used only by the greenlet of the request.

    Args:
      components: Components of the gateway.
      job: The request.
      choice: The chosen endpoint.
      caller: `ingress.CallerConnection`.
      router_count: Routers that share the retry budget.
      reserve_successor: Returns the choice of another endpoint that can take over the request now,
        after taking the retry out of the budget; None when there is none.

    Attributes:
      has_begun: Whether an event of the response has arrived.
      is_quarantined: Whether it was aborted because its request crashes endpoints.
      salt: Cache salt, empty for a plain service.
      successor: Choice that takes over the request, None when none was reserved.
    """

    def __init__(
        self,
        components: jobs.Components,
        job: jobs.Job,
        choice: placement.Choice,
        caller,
        router_count: int,
        reserve_successor: Callable[[], placement.Choice | None] = lambda: None,
    ):
        self.components = components
        self.router_count = router_count
        self.reserve_successor = reserve_successor
        self.successor: placement.Choice | None = None
        self.clock = components.clock
        self.job = job
        self.choice = choice
        self.state: endpoints.EndpointState = choice.state
        self.caller = caller
        self.backlog_tokens = choice.prefill_tokens
        self.started_at = components.clock.monotonic()
        self.channel: http1.Channel | None = None
        self.is_pooled = False
        self.has_begun = False
        self.is_quarantined = False
        self.is_suspect = False
        self.is_reused = False
        self.salt = choice.salt
        # Bytes of the response that count against the budget of all.
        self.counted_bytes = 0

    def release_backlog(self) -> None:
        """Subtract the prompt from the endpoint's prefill backlog."""
        self.state.backlog_tokens = max(0.0, self.state.backlog_tokens - self.backlog_tokens)
        self.backlog_tokens = 0.0

    def run(self):
        """Send the request and relay the response.

        Returns:
          `failures.Delivered`, `failures.NotExecuted` or `failures.PossiblyExecuted`.

        Raises:
          failures.CallerLeftError: When the caller disconnected.
          failures.DeadlineError: When the deadline of the request passed.
        """
        try:
            self.channel = self._connect()
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self.state.doubt_entry()
            self.components.reachability.report(self.state, str(error))
            return failures.NotExecuted("unreachable", has_arrived=False)
        self.state.attempts.add(self)
        try:
            return self._send_and_receive()
        except TimeoutError:
            if self.clock.monotonic() >= self.job.deadline_at:
                raise failures.DeadlineError("the deadline has passed", "allow more time") from None
            return failures.PossiblyExecuted("silent", successor=self.successor)
        except http1.EndOfStreamError:
            cause = "quarantined" if self.is_quarantined else "lost"
            is_crash = not self.channel.is_aborted
            return failures.PossiblyExecuted(cause, is_crash=is_crash, has_begun=self.has_begun)
        except http1.FramingError:
            return failures.PossiblyExecuted("garbled")
        finally:
            self.state.attempts.discard(self)
            self.components.pool.responses.resize(self.counted_bytes, 0)
            if not self.is_pooled:
                self.channel.close()

    def abort_if_recoverable(self) -> None:
        """Abort the attempt, whose endpoint is down, if the request can continue elsewhere."""
        has_other = self.components.continuation.has_endpoint(self.job, besides=self.state)
        if (has_other and self._can_retry()) or self.choice.backup is not None:
            self.channel.shutdown()

    def abort_if_quarantined(self) -> None:
        """Abort the attempt if a verdict applies to its request and no response has begun."""
        if not self.has_begun and self._is_request_quarantined():
            self.is_quarantined = True
            self.channel.shutdown()

    def _is_request_quarantined(self) -> bool:
        now = self.clock.monotonic()
        return self.components.quarantine.is_quarantined(self.job.fingerprints, now)

    def mark_suspect(self) -> None:
        """Count the attempt among those that may crash the endpoint."""
        self.is_suspect = True
        self.state.suspect_count += 1

    def release_suspect(self) -> None:
        """Undo `mark_suspect`, as the response has begun or the attempt has ended."""
        if self.is_suspect:
            self.is_suspect = False
            self.state.suspect_count -= 1
            self.components.wait_queue.wake()

    def _connect(self) -> http1.Channel:
        channel = None
        if self.job.route.is_idempotent:
            channel = self.components.pool.acquire(self.state.endpoint.incarnation)
            # A response on a connection that has carried this request may belong to that attempt.
            while channel is not None and channel in self.job.used_channels:
                channel.close()
                channel = self.components.pool.acquire(self.state.endpoint.incarnation)
        self.is_reused = channel is not None
        channel = channel or self.components.pool.open(self.state.endpoint.address)
        self.job.used_channels.append(channel)
        return channel

    def _send_and_receive(self):
        job, choice = self.job, self.choice
        if not self.components.continuation.confirm(job, self.state):
            return failures.NotExecuted("unconfirmed", has_arrived=False)
        # Between this check and the first byte, nothing lets other greenlets run.
        now = self.clock.monotonic()
        cause = self.state.withdrawal(now)
        if not cause and choice.backup is not None and choice.backup.withdrawal(now):
            cause = f"backup {choice.backup.withdrawal(now)}"
        if job.origin is not None and (
            self.state.is_gone or not self.components.continuation.allows(job, self.state)
        ):
            cause = "replaced"
        if choice.weights is None and job.request.prompt is not None and self._engine() is not None:
            # Without a cache salt, engines would mix the prompt parts of all teams.
            cause = "chosen as a plain service"
        if cause:
            return failures.NotExecuted(cause, has_arrived=False)
        self._update_salt()
        directives = model.Directives(
            endpoint=self.state.endpoint,
            remaining_seconds=job.deadline_at - self.clock.monotonic(),
            team=job.team.name if job.team else "",
            urgency=job.urgency if choice.weights is not None else None,
            weights=choice.weights,
            cache_salt=self.salt,
            fetch_from=choice.fetch_from,
            save_to=choice.save_to,
            last_event_id=job.last_event_id,
            backup_to=choice.backup.endpoint.address if choice.backup else "",
            is_continuation=choice.is_continuation,
        )
        if choice.weights is not None and not choice.is_continuation:
            self._record_expected_prefixes()
        head_data = self.components.protocol.encode_request(job.request, directives)
        timeout = self._response_timeout()
        self.channel.on_read_timeout = self._should_keep_waiting
        if self._is_request_quarantined():
            return failures.NotExecuted("quarantined", has_arrived=False)
        job.is_attempt_in_flight = True
        self.channel.send_until_response(head_data, timeout, job.request.body)
        head = self._read_final_head()
        if head is None:
            return failures.PossiblyExecuted("lost", is_crash=not self.channel.is_aborted)
        self.state.last_received_at = self.clock.monotonic()
        framing = http1.response_framing(head, job.request.method)
        response = self.components.protocol.decode_response(head)
        self.components.notices.record_head(self.state, response)
        # On a reused connection, a response without an id may repeat an earlier one.
        if response.request_id != job.request.id and (response.request_id or self.is_reused):
            return failures.PossiblyExecuted("crossed")
        self.components.notices.record_pause(self.state, response)
        if response.is_not_executed or not response.is_success:
            self.channel.stop_sending()
        if response.is_not_executed:
            return self._handle_rejection(response, framing)
        if not response.is_success:
            body = self._read_body(framing)
            self._return_to_pool(response)
            return self._handle_error(response, body)
        if not response.is_sealed or response.request_id is None:
            return failures.PossiblyExecuted("unsealed")
        if job.route.kind is model.RouteKind.STREAM:
            return self._relay_stream(response, framing)
        body = self._read_body(framing)
        self._return_to_pool(response)
        self.state.record_latency(self.clock.monotonic() - self.started_at)
        self._send_response(response, body)
        return failures.Delivered(response.status)

    def _engine(self) -> model.EngineTraits | None:
        """Return the properties of the service's engines, None for a plain service."""
        return self.job.engine_in(self.components.cluster_state.configuration)

    def _update_salt(self) -> None:
        """Use the cache salt of the configuration that is in force when the request is sent.

        It may have replaced the one with which the endpoint was chosen, or under which the run that
        this one continues began.
        """
        prompt = self.job.request.prompt
        if prompt is not None and self.choice.weights is not None:
            configuration = self.components.cluster_state.configuration
            namespace = self.job.namespace_in(configuration)
            self.salt = placement.cache_salt(prompt.model, self.choice.weights, namespace)

    def _read_final_head(self) -> http1.Head | None:
        """Return the head of the final response, None when the connection ends before it.

        Raises:
          http1.FramingError: When there are too many interim responses, or a status is malformed.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            head = self.channel.read_head()
            if head is None or http1.response_status(head) >= FINAL_STATUS:
                return head
            interim = self.components.protocol.decode_response(head)
            self.components.notices.record_head(self.state, interim)
        raise http1.FramingError("too many interim responses", "check the endpoint")

    def _read_body(self, framing: http1.Framing) -> bytes:
        def on_growth(count: int) -> None:
            budget = self.components.pool.responses
            self.counted_bytes = budget.resize(self.counted_bytes, count)

        return self.channel.read_body(framing, self._max_response_bytes(), on_growth)

    def _max_response_bytes(self) -> int:
        memory_bytes = self.components.settings.memory_bytes
        if not memory_bytes:
            return MAX_RESPONSE_BYTES
        return min(MAX_RESPONSE_BYTES, int(memory_bytes * MAX_RESPONSE_MEMORY_FRACTION))

    def _response_timeout(self) -> float:
        """Return the seconds without data after which the attempt counts as failed.

        A request that cannot be retried waits until its deadline, as an overloaded model endpoint
        may be silent for long, and a broken connection reveals an endpoint that is gone. If the
        request has a KV backup, the timeout only triggers a check of whether the endpoint is still
        reachable.
        """
        remaining = self._remaining_seconds()
        if not self._can_retry():
            return (
                remaining if self.choice.backup is None else min(remaining, MAX_EVENT_GAP_SECONDS)
            )
        objective, expected = self.job.route.objective_seconds, self.choice.expected_seconds
        if self.job.route.kind is model.RouteKind.STREAM:
            return min(remaining, max(FIRST_EVENT_TIMEOUT_OBJECTIVES * objective, 3 * expected))
        return min(
            remaining,
            max(
                MIN_RESPONSE_TIMEOUT_SECONDS, RESPONSE_TIMEOUT_OBJECTIVES * objective, 2 * expected
            ),
        )

    def _should_keep_waiting(self) -> bool:
        """Return whether to go on waiting for an endpoint that is silent.

        It may be sound and go on, so the attempt is given up only when another endpoint takes over:
        at once, or from the KV backup of an endpoint that is down.
        """
        if self.job.deadline_at - self.clock.monotonic() < jobs.MIN_ATTEMPT_SECONDS:
            return False
        if self._reserve_successor():
            return False
        return self.choice.backup is None or channels.is_reachable(self.state.endpoint.address)

    def _reserve_successor(self) -> bool:
        if self.successor is None and self._can_retry():
            # A request does not wait for the outcome of its own attempt.
            self.state.suspect_count -= self.is_suspect
            self.successor = self.reserve_successor()
            self.state.suspect_count += self.is_suspect
        return self.successor is not None

    def _can_retry(self) -> bool:
        """Return whether the request could be retried if this attempt failed now."""
        job, now = self.job, self.clock.monotonic()
        if not job.route.is_idempotent or job.executions + 1 >= job.route.max_attempts:
            return False
        if job.is_response_started and job.last_event_id is None:
            return False
        if not self.components.continuation.is_possible(job):
            return False
        return self.components.budget.available(job.service, self.router_count, now) >= 1

    def _handle_rejection(self, response: model.ResponseHead, framing: http1.Framing):
        """Return the result for a response that states that the request was not executed."""
        if response.weights is not None and self.job.request.prompt is not None:
            self.state.record_weights(self.job.request.prompt.model, response.weights)
        self._read_body(framing)
        self._return_to_pool(response)
        if self.choice.weights is not None and not self.choice.is_continuation:
            self._drop_expected_prefixes()
        cause = "misdirected" if response.is_misdirected else f"rejected with {response.status}"
        return failures.NotExecuted(cause, has_arrived=True)

    def _handle_error(self, response: model.ResponseHead, body: bytes):
        """Relay an error response, unless the request may be sent to another endpoint."""
        if response.status >= 500 and self.job.route.is_idempotent:
            return failures.PossiblyExecuted(f"failed with {response.status}", response, body)
        if response.status >= 500:
            self.state.record_failure(self.clock.monotonic())
        if self.job.is_response_started:
            return failures.PossiblyExecuted(f"failed with {response.status}")
        self._send_response(response, body)
        return failures.Delivered(response.status)

    def _return_to_pool(self, response: model.ResponseHead) -> None:
        """Return the connection to the pool, which closes it if it can't carry another request."""
        self.is_pooled = True
        self.components.pool.release(
            self.state.endpoint.incarnation, self.channel, response.idle_seconds
        )

    def _send_response(self, response: model.ResponseHead, body: bytes) -> None:
        self.job.first_at = self.clock.monotonic()
        send_response(self.components, self.job, self.caller, response, body)

    # Streams

    def _relay_stream(self, response: model.ResponseHead, framing: http1.Framing):
        buffer = sse.EventBuffer()
        first_event_timeout = self._response_timeout()
        # Time of the first bytes since the last event; before those the endpoint was silent.
        stalled_at = self.started_at
        last_event_at: float | None = None
        for piece in self.channel.iter_body(framing):
            now = self.state.last_received_at = self.clock.monotonic()
            events = buffer.feed(piece)
            has_progress = not all(map(sse.is_comment, events))
            if has_progress:
                stalled_at = None
                if last_event_at is not None:
                    pause = now - last_event_at
                    self.job.longest_pause = max(self.job.longest_pause, pause)
                last_event_at = now
            elif stalled_at is None:
                stalled_at = now
            if has_progress and not self.has_begun:
                self.has_begun = True
                self._on_first_event(response)
            self._relay_events(response, events)
            timeout = MAX_EVENT_GAP_SECONDS if self.has_begun else first_event_timeout
            is_stalled = stalled_at is not None and now - stalled_at > timeout
            # An endpoint that sends bytes is not down, so no KV backup can take over.
            if is_stalled and self._reserve_successor():
                raise TimeoutError("the endpoint sends bytes but no events")
        if buffer.rest or (framing.is_close_delimited and not self.has_begun):
            cause = "cut inside an event" if buffer.rest else "lost"
            return failures.PossiblyExecuted(
                cause, is_crash=framing.is_close_delimited, has_begun=self.has_begun
            )
        if not self.job.is_response_started:
            self._send_head(response)
        self._return_to_pool(response)
        self.caller.send(http1.LAST_CHUNK)
        return failures.Delivered(response.status)

    def _on_first_event(self, response: model.ResponseHead) -> None:
        now = self.clock.monotonic()
        self.release_backlog()
        self.release_suspect()
        self.components.crashes.record_begun(self.job.part_fingerprints)
        self.components.continuation.record_first_event(self.job, self.state)
        prompt = self.job.request.prompt
        if (
            prompt is not None
            and self.choice.weights is not None
            and not self.choice.is_continuation
        ):
            self.state.record_first_event(now - self.started_at, self.choice.expected_seconds)
            self._record_weights_and_saved_prefixes(prompt, response)
        can_continue = self._can_continue_elsewhere()
        gap = MAX_EVENT_GAP_SECONDS if can_continue else self._remaining_seconds()
        self.channel.sock.settimeout(min(gap, self._remaining_seconds()))

    def _can_continue_elsewhere(self) -> bool:
        return self._can_retry() or self.choice.backup is not None

    def _remaining_seconds(self) -> float:
        return max(jobs.MIN_ATTEMPT_SECONDS, self.job.deadline_at - self.clock.monotonic())

    def _record_weights_and_saved_prefixes(
        self, prompt: model.Prompt, response: model.ResponseHead
    ) -> None:
        if response.weights is not None:
            self.state.record_weights(prompt.model, response.weights)
        store = self.components.cluster_state.configuration.cache_store(self.choice.save_to)
        if store is not None:
            capacity = int(store.cache_tokens * cache_index.CACHE_FRACTION)
            self._record_prefixes(store.cache_store, capacity, STORE_SAVE_SECONDS)

    def _record_expected_prefixes(self) -> None:
        """Record the prompt's prefixes at the endpoint before it has computed them.

        Requests with the same prefix that arrive in the meantime then go to the same endpoint.
        """
        engine = self._engine()
        if engine is not None:
            capacity = int(engine.cache_tokens * cache_index.CACHE_FRACTION)
            seconds = self.choice.expected_seconds
            self._record_prefixes(self.state.endpoint.incarnation, capacity, seconds)

    def _record_prefixes(self, holder: str, capacity: int, seconds: float) -> None:
        """Record that a holder has the prompt's prefixes.

        Args:
          holder: Incarnation of an endpoint, or address of a cache store.
          capacity: Tokens that the holder can cache.
          seconds: Time after which the prefixes can be fetched.
        """
        ready_at = self.clock.monotonic() + seconds
        previous_tokens = 0
        for key, tokens in self._prefix_keys():
            item = cache_index.PrefixRecord(key, tokens - previous_tokens, holder, ready_at)
            self.components.index.add(item, capacity, is_own=True)
            previous_tokens = tokens

    def _prefix_keys(self) -> list[tuple[bytes, int]]:
        parts = self.job.request.prompt.shared_parts
        return cache_index.prefix_keys(self.salt, parts)

    def _drop_expected_prefixes(self) -> None:
        """Undo `_record_expected_prefixes`, as the endpoint did not prefill the prompt."""
        for key, _ in self._prefix_keys():
            self.components.index.drop(self.state.endpoint.incarnation, key)

    def _send_head(self, response: model.ResponseHead) -> None:
        self.job.is_response_started = True
        self.job.first_at = self.clock.monotonic()
        extra = [("Transfer-Encoding", "chunked"), *self.caller.connection_fields()]
        self.caller.send(
            self.components.protocol.encode_response(response, self.job.request, extra)
        )

    def _relay_events(self, response: model.ResponseHead, events: list[bytes]) -> None:
        """Send the caller the events that it does not have yet."""
        out = bytearray()
        for event in events:
            event_id = sse.event_id(event)
            last_event_id = self.job.last_event_id
            if event_id is not None:
                if last_event_id is not None and event_id <= last_event_id:
                    continue
                self.job.last_event_id = event_id
            out += http1.encode_chunk(event)
        if not out:
            return
        if not self.job.is_response_started:
            self._send_head(response)
        self.caller.send(bytes(out))


def send_response(
    components: jobs.Components, job: jobs.Job, caller, response: model.ResponseHead, body: bytes
) -> None:
    """Send an endpoint's complete response to the caller."""
    job.is_response_started = True
    fields = []
    if response.status not in http1.BODILESS_STATUSES:
        fields.append(("Content-Length", str(len(body))))
    extra = [*fields, *caller.connection_fields()]
    data = components.protocol.encode_response(response, job.request, extra)
    if job.request.method == "HEAD":
        body = b""
    if len(body) <= http1.READ_BYTES:
        caller.send(data + body)
    else:
        caller.send(data)
        caller.send(body)
