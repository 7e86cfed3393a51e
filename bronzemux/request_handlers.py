"""Answers to callers: claims, execution, streams and their records."""

import contextlib
import dataclasses
import itertools
import json
from collections.abc import Iterator

import gevent
import gevent.event
import gevent.queue

from bronzemux import claim as claim_rows
from bronzemux import (
    completion,
    context,
    engine,
    engine_http,
    errors,
    forward,
    http_client,
    logs,
    requests,
    resume_token,
    service_execution,
)

STREAM_TYPE = "text/event-stream"
TOKEN_COMMENT = ": resume-token "
RESUME_HEADER = "X-Resume-Token"
REPLAY_HEADER = ("X-Idempotent-Replay", "true")
QUEUE_PARTS = 1024


@dataclasses.dataclass(frozen=True)
class Finished:
    """End of a background execution; the error is None after a whole answer."""

    error: errors.RequestError | None


def claim_outcome(claim: claim_rows.Claim) -> errors.Outcome:
    """Return what a claim says about the execution of its request."""
    return errors.Outcome.RAN if claim.state is claim_rows.State.DONE else errors.Outcome.UNKNOWN


class RequestHandler:
    """RequestHandler to one request; base of both kinds.

    Args:
      components: Components of the router.
      request: The request.
      call: WSGI side of the request.
    """

    def __init__(self, components: context.Context, request: requests.Request, call):
        self.components = components
        self.request = request
        self.call = call
        self.claim: claim_rows.Claim | None = None
        self.tools = forward.ExecutionDependencies(
            components.dispatcher, components.engine_of, components.clock, components.meters
        )

    def respond(self):
        """Run the request and return the body for WSGI.

        Raises:
          errors.RequestError: When it is refused or fails before its first part.
        """
        self.components.status.in_flight += 1
        handed_over = False
        try:
            result = self._respond()
            handed_over = isinstance(result, Iterator)
            return result
        except errors.RequestError as error:
            self.record(error.status, error.outcome)
            raise
        finally:
            if not handed_over:
                self.components.status.in_flight -= 1

    def _respond(self):
        metadata = self.request.metadata
        if metadata.workload.idempotent:
            return self.run()
        found = self.components.claims.begin(
            metadata.team.name, metadata.idempotency_key, self.request.fingerprint
        )
        if isinstance(found, claim_rows.StoredAnswer):
            return self.replay(found)
        self.claim = found
        return self.run()

    def run(self):
        """Run the request and return the body for WSGI."""
        raise NotImplementedError

    def replay(self, stored: claim_rows.StoredAnswer):
        """Return the body of an answer that was stored before."""
        raise NotImplementedError

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count work that goes on without its caller, so that a stop waits for it."""
        self.components.status.in_flight += 1
        try:
            yield
        finally:
            self.components.status.in_flight -= 1

    def settle_failure(self, error: errors.RequestError) -> None:
        """Record at the claim what is known after a failure."""
        if self.claim is None:
            return
        if error.outcome is errors.Outcome.NOT_RUN:
            self.components.claims.release(self.claim)
        else:
            self.components.claims.mark_unknown(self.claim)

    def record(self, status: int, outcome: errors.Outcome, **fields) -> None:
        """Count and log the end of the request."""
        metadata = self.request.metadata
        self.components.meters.requests.labels(
            metadata.workload.name, outcome.value, str(status)
        ).inc()
        logs.event(
            "request_done",
            request=metadata.id,
            team=metadata.team.name,
            workload=metadata.workload.name,
            status=status,
            outcome=outcome.value,
            seconds=self.components.clock.monotonic() - metadata.arrived,
            version=metadata.snapshot.version,
            **fields,
        )


class ServiceRequestHandler(RequestHandler):
    """RequestHandler of a plain service."""

    def run(self):
        """Run the request and return the body for WSGI."""
        if self.claim is None:
            return self._send(self._execute())
        # The work goes on and is recorded even when the caller's connection is cut or it is late.
        reply = gevent.event.AsyncResult()
        runner = gevent.spawn(self._execute_claimed, reply)
        runner.link(reply)
        result = reply.get()
        if isinstance(result, errors.RequestError):
            raise result
        return self._send(result)

    def _execute(self, *late) -> service_execution.ServiceResponse:
        settings = self.components.settings
        limits = http_client.Timeouts(settings.connect_seconds, settings.progress_seconds)
        return service_execution.ServiceExecution(self.request, self.tools, limits, *late).answer()

    def _execute_claimed(self, reply) -> service_execution.ServiceResponse | errors.RequestError:
        """Run the request and record its end at the claim.

        Args:
          reply: Is told `unknown` when the answer is late; the claim stays started until then.
        """
        with self.counted():
            try:
                late_seconds = self.components.settings.late_answer_seconds
                answer = self._execute(late_seconds, lambda: reply.set(_late()))
            except errors.RequestError as error:
                self.settle_failure(error)
                return error
            content_type = dict(answer.headers).get("Content-Type", "")
            stored = claim_rows.StoredAnswer(answer.status, content_type, (answer.body,))
            self.components.claims.finish(self.claim, stored)
            return answer

    def _send(self, answer: service_execution.ServiceResponse):
        self.record(answer.status, errors.Outcome.RAN)
        return self.call.respond_bytes(
            answer.status, answer.body, answer.headers, errors.Outcome.RAN
        )

    def replay(self, stored: claim_rows.StoredAnswer):
        """Return the body of an answer that was stored before."""
        headers = [("Content-Type", stored.content_type), REPLAY_HEADER]
        self.record(stored.status, errors.Outcome.RAN, replayed=True)
        return self.call.respond_bytes(stored.status, stored.parts[0], headers, errors.Outcome.RAN)


def _late() -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        "the service has not answered yet",
        "repeat with the same Idempotency-Key, or ask with GET /v1/requests/KEY",
        outcome=errors.Outcome.UNKNOWN,
    )


class ModelRequestHandler(RequestHandler):
    """RequestHandler of a model."""

    request: requests.ModelRequest

    def run(self):
        """Run the request and return the body for WSGI."""
        execution = forward.ModelExecution(self.request, self.tools)
        parts = execution.parts() if self.claim is None else self._background(execution)
        if not self.request.wants_stream:
            return self._whole(execution, list(parts))
        first = next(parts)
        self._observe_first_token()
        headers = [(RESUME_HEADER, self._token(execution.origin))]
        everything = itertools.chain((first,), parts)
        return self.call.respond_stream(self._events(execution, everything, parts), headers)

    def replay(self, stored: claim_rows.StoredAnswer):
        """Return the body of an answer that was stored before."""
        self.record(200, errors.Outcome.RAN, replayed=True)
        if not self.request.wants_stream:
            body = completion.assemble(self.request.path, stored.parts)
            return self.call.respond_json(body, errors.Outcome.RAN, [REPLAY_HEADER])
        numbered = enumerate(stored.parts)
        events = [
            engine_http.encode_event(n, data) for n, data in numbered if self._is_wanted(data)
        ]
        self.call.respond_stream(iter(()), [REPLAY_HEADER])
        return events

    # Work that goes on without its caller

    def _background(self, execution: forward.ModelExecution) -> Iterator[engine.Part]:
        """Iterate over parts of an execution that ends and is recorded even without a caller."""
        queue = gevent.queue.Queue(QUEUE_PARTS)
        runner = gevent.spawn(self._execute_claimed, execution, queue)
        try:
            while True:
                item = queue.get()
                if isinstance(item, Finished):
                    if item.error is not None:
                        raise item.error
                    return
                yield item
        finally:
            if not runner.ready():
                gevent.spawn(_discard, queue)

    def _execute_claimed(
        self, execution: forward.ModelExecution, queue: gevent.queue.Queue
    ) -> None:
        with self.counted():
            queue.put(Finished(self._run_claimed(execution, queue)))

    def _run_claimed(
        self, execution: forward.ModelExecution, queue: gevent.queue.Queue
    ) -> errors.RequestError | None:
        """Pass parts on and record the answer; return the error of a failure."""
        try:
            for part in execution.parts():
                if part.data == engine.DONE:
                    stored = claim_rows.StoredAnswer(200, STREAM_TYPE, tuple(execution.sent))
                    self.components.claims.finish(self.claim, stored)
                queue.put(part)
        except errors.RequestError as error:
            self.settle_failure(error)
            return error
        return None

    # Forms of the answer

    def _whole(self, execution: forward.ModelExecution, parts: list[engine.Part]):
        self._observe_first_token()
        body = completion.assemble(self.request.path, [part.data for part in parts])
        self._record_run(execution)
        return self.call.respond_json(body, outcome=errors.Outcome.RAN)

    def _events(self, execution, everything, source) -> Iterator[bytes]:
        """Iterate over server-sent events; a failure becomes an event without an end mark."""
        gap = self.components.meters.token_gap.labels(self.request.metadata.workload.name)
        clock = self.components.clock
        origin = execution.origin
        last = clock.monotonic()
        try:
            for part in everything:
                now = clock.monotonic()
                gap.observe(now - last)
                last = now
                if not self._is_wanted(part.data):
                    continue
                event = engine_http.encode_event(part.number, part.data)
                yield self._renewal(execution, origin) + event
                origin = execution.origin
            self._record_run(execution)
        except errors.RequestError as error:
            self.record(error.status, error.outcome, broke_off=True)
            yield error_event(error)
        except GeneratorExit:
            self.record(499, errors.Outcome.UNKNOWN, caller_left=True)
            raise
        finally:
            source.close()
            self.components.status.in_flight -= 1

    def _renewal(self, execution: forward.ModelExecution, known: forward.Origin) -> bytes:
        """Return a comment line with a new resume token when the answer moved, else nothing.

        The line stands within the next event, because some clients take a comment that stands
        alone for an empty event.
        """
        if execution.origin is known:
            return b""
        return f"{TOKEN_COMMENT}{self._token(execution.origin)}\n".encode()

    def _is_wanted(self, data: bytes) -> bool:
        return self.request.wants_usage or not completion.is_only_usage(data)

    def _token(self, origin: forward.Origin) -> str:
        token = resume_token.Token(
            self.request.metadata.team.name,
            origin.endpoint,
            origin.incarnation,
            origin.request_id,
            origin.base,
            self.request.wants_usage,
            int(self.components.clock.now().timestamp()),
        )
        return resume_token.sign(token, self.components.mesh_keys()[0])

    def _observe_first_token(self) -> None:
        metadata = self.request.metadata
        seconds = self.components.clock.monotonic() - metadata.arrived
        self.components.meters.first_token.labels(metadata.workload.name).observe(seconds)

    def _record_run(self, execution: forward.ModelExecution) -> None:
        self.record(
            200,
            errors.Outcome.RAN,
            endpoint=execution.origin.endpoint,
            attempts=execution.attempts,
            prompt_tokens=execution.usage.prompt_tokens,
            cached_tokens=execution.usage.cached_tokens,
        )


def _discard(queue: gevent.queue.Queue) -> None:
    """Empty a queue whose reader left, until the writer ends."""
    while not isinstance(queue.get(), Finished):
        continue


def error_event(error: errors.RequestError) -> bytes:
    """Return the event that ends a stream which failed; no end mark follows."""
    fields = {"message": str(error), "type": error.kind, "outcome": error.outcome.value}
    return b"data: %b\n\n" % json.dumps({"error": fields}).encode()
