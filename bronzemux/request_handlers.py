"""Handlers of model and service requests: claims, execution, response streams and logging."""

import contextlib
import dataclasses
import itertools
import json
from collections.abc import Iterator

import gevent
import gevent.event
import gevent.queue

from bronzemux import (
    claim_rows,
    completion,
    context,
    engine,
    engine_http,
    errors,
    forward,
    http_client,
    interruption,
    logs,
    requests,
    resume_token,
    service_execution,
)

STREAM_TYPE = "text/event-stream"
TOKEN_COMMENT = ": resume-token "
RESUME_HEADER = "X-Resume-Token"
REPLAY_HEADER = ("X-Idempotent-Replay", "true")
MAX_QUEUED_PARTS = 1024


@dataclasses.dataclass(frozen=True)
class Finished:
    """Last item in the queue of a background execution.

    Attributes:
      error: Error of the execution, None after a complete response.
    """

    error: errors.RequestError | None


def claim_outcome(claim: claim_rows.Claim) -> errors.Outcome:
    """Return the outcome of a non-idempotent request according to its claim."""
    return errors.Outcome.RAN if claim.state is claim_rows.State.DONE else errors.Outcome.UNKNOWN


class RequestHandler:
    """Handler of one request; base class of the handlers of service and model requests.

    Args:
      components: Components of the router.
      request: The request.
      call: HTTP request of the caller.
    """

    def __init__(self, components: context.Context, request: requests.Request, call):
        self.components = components
        self.request = request
        self.call = call
        self.claim: claim_rows.Claim | None = None
        self.scope = interruption.Scope()
        self.dependencies = forward.ExecutionDependencies(
            components.dispatcher, components.engine_of, components.clock, components.meters
        )

    def respond(self):
        """Run the request and return the body for WSGI.

        Raises:
          errors.RequestError: When the request is refused, or fails before the first part of its
            response.
        """
        status = self.components.status
        status.in_flight += 1
        is_streamed = False
        try:
            if status.is_draining:
                raise _shutdown_refusal()
            with self.interruptible():
                result = self._respond()
            # A streamed response is in flight until `_iter_events` ends.
            is_streamed = isinstance(result, Iterator)
            return result
        except errors.ShutdownError as error:
            failure = error if error.outcome is errors.Outcome.UNKNOWN else _shutdown_refusal()
            self.record(failure.status, failure.outcome)
            raise failure from error
        except errors.RequestError as error:
            self.record(error.status, error.outcome)
            raise
        finally:
            if not is_streamed:
                status.in_flight -= 1

    @contextlib.contextmanager
    def interruptible(self) -> Iterator[None]:
        """Let the end of a graceful shutdown interrupt the greenlet of the caller."""
        scopes = self.components.status.scopes
        scopes.add(self.scope)
        try:
            with self.scope:
                yield
        finally:
            scopes.discard(self.scope)

    def _respond(self):
        """Run the request, or replay the response stored under its idempotency key."""
        metadata = self.request.metadata
        if metadata.workload.idempotent:
            return self.run()
        claim_or_stored = self.components.claims.begin(
            metadata.team.name, metadata.idempotency_key, self.request.fingerprint
        )
        if isinstance(claim_or_stored, claim_rows.StoredResponse):
            return self.replay(claim_or_stored)
        self.claim = claim_or_stored
        return self.run()

    def run(self):
        """Run the request and return the body for WSGI."""
        raise NotImplementedError

    def replay(self, stored: claim_rows.StoredResponse):
        """Return the stored response of an earlier execution as the body for WSGI."""
        raise NotImplementedError

    @contextlib.contextmanager
    def count_in_flight(self) -> Iterator[None]:
        """Count a background execution as in flight, so that a graceful shutdown waits for it.

        It may outlive the connection of its caller, which `respond` counts separately.
        """
        self.components.status.in_flight += 1
        try:
            yield
        finally:
            self.components.status.in_flight -= 1

    def record_claim_failure(self, error: errors.RequestError) -> None:
        """Record the outcome of a failed execution in the claim."""
        if self.claim is None:
            return
        if error.outcome is errors.Outcome.NOT_RUN:
            self.components.claims.release(self.claim)
        else:
            self.components.claims.mark_unknown(self.claim)

    def record_unexpected_failure(self, error: Exception) -> errors.RequestError:
        """Log an error that no handler expects, and record it in the claim.

        Returns:
          The error for the caller.
        """
        logs.failure("request_failed", error, request=self.request.metadata.id)
        failure = errors.OutcomeUnknownError(
            "the router failed to process the request",
            "query the outcome with GET /v1/requests/KEY before using a new key",
            outcome=errors.Outcome.UNKNOWN,
        )
        self.record_claim_failure(failure)
        return failure

    def record(self, status: int, outcome: errors.Outcome, **fields) -> None:
        """Log the end of the request and count it in the metrics."""
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
    """Handler of a request for a plain service."""

    def run(self):
        """Run the request and return the body for WSGI."""
        if self.claim is None:
            return self._send(self._execute())
        # A separate greenlet completes and records the request even if the caller disconnects or
        # has already received the outcome `unknown` because the response is late.
        reply = gevent.event.AsyncResult()
        execution_greenlet = gevent.spawn(self._execute_claimed, reply)
        execution_greenlet.link(reply)
        result = reply.get()
        if isinstance(result, errors.RequestError):
            raise result
        return self._send(result)

    def _execute(self, *late_arguments) -> service_execution.ServiceResponse:
        """Run the request; `late_arguments` are `late_seconds` and `on_late` of the execution."""
        settings = self.components.settings
        timeouts = http_client.Timeouts(settings.connect_seconds, settings.progress_seconds)
        return service_execution.ServiceExecution(
            self.request, self.dependencies, timeouts, *late_arguments
        ).run()

    def _execute_claimed(self, reply) -> service_execution.ServiceResponse | errors.RequestError:
        """Run the request and record its outcome in the claim.

        Args:
          reply: Set to an error with outcome `unknown` when the response is late; the claim stays
            in state `started` until the execution ends.

        Returns:
          The response, or the error of a failed execution.
        """
        with self.count_in_flight():
            try:
                late_seconds = self.components.settings.late_answer_seconds
                response = self._execute(late_seconds, lambda: reply.set(_late_response_error()))
                content_type = dict(response.headers).get("Content-Type", "")
                stored = claim_rows.StoredResponse(response.status, content_type, (response.body,))
                self.components.claims.finish(self.claim, stored)
                return response
            except errors.RequestError as error:
                self.record_claim_failure(error)
                return error
            except Exception as error:  # noqa: BLE001 - the caller gets an error response
                return self.record_unexpected_failure(error)

    def _send(self, response: service_execution.ServiceResponse):
        self.record(response.status, errors.Outcome.RAN)
        return self.call.respond_bytes(
            response.status, response.body, response.headers, errors.Outcome.RAN
        )

    def replay(self, stored: claim_rows.StoredResponse):
        """Return the stored response of an earlier execution as the body for WSGI."""
        headers = [("Content-Type", stored.content_type), REPLAY_HEADER]
        self.record(stored.status, errors.Outcome.RAN, replayed=True)
        body = b"".join(stored.parts)
        return self.call.respond_bytes(stored.status, body, headers, errors.Outcome.RAN)


def _shutdown_refusal() -> errors.UnavailableError:
    return errors.UnavailableError("the router is shutting down", "use another router", 0.0)


def _late_response_error() -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        "the service has not responded yet",
        "repeat with the same Idempotency-Key, or query the outcome with GET /v1/requests/KEY",
        outcome=errors.Outcome.UNKNOWN,
    )


class ModelRequestHandler(RequestHandler):
    """Handler of a request for a model."""

    request: requests.ModelRequest

    def run(self):
        """Run the request and return the body for WSGI."""
        execution = forward.ModelExecution(self.request, self.dependencies)
        parts = execution.parts() if self.claim is None else self._iter_background(execution)
        if not self.request.wants_stream:
            return self._respond_assembled(execution, parts)
        first = next(parts)
        self._observe_first_token()
        headers = [(RESUME_HEADER, self._sign_token(execution.origin))]
        all_parts = itertools.chain((first,), parts)
        return self.call.respond_stream(self._iter_events(execution, all_parts, parts), headers)

    def replay(self, stored: claim_rows.StoredResponse):
        """Return the stored response of an earlier execution as the body for WSGI."""
        self.record(200, errors.Outcome.RAN, replayed=True)
        if not self.request.wants_stream:
            body = completion.assemble(self.request.path, stored.parts)
            return self.call.respond_json(body, errors.Outcome.RAN, [REPLAY_HEADER])
        numbered = enumerate(stored.parts)
        events = [
            engine_http.encode_event(n, data) for n, data in numbered if self._is_wanted(data)
        ]
        # Only starts the response: `respond` counts an iterator, unlike a list, as a stream.
        self.call.respond_stream(iter(()), [REPLAY_HEADER])
        return events

    # Executions that outlive their caller

    def _iter_background(self, execution: forward.ModelExecution) -> Iterator[engine.Part]:
        """Iterate over the parts of an execution that continues if the caller disconnects."""
        queue = gevent.queue.Queue(MAX_QUEUED_PARTS)
        execution_greenlet = gevent.spawn(self._execute_claimed, execution, queue)
        try:
            while True:
                item = queue.get()
                if isinstance(item, Finished):
                    if item.error is not None:
                        raise item.error
                    return
                yield item
        finally:
            if not execution_greenlet.ready():
                gevent.spawn(_discard_until_finished, queue)

    def _execute_claimed(
        self, execution: forward.ModelExecution, queue: gevent.queue.Queue
    ) -> None:
        with self.count_in_flight():
            error: errors.RequestError | None = errors.OutcomeUnknownError(
                "the router failed to process the request", "query its outcome"
            )
            try:
                error = self._run_claimed(execution, queue)
            finally:
                # Without this item, the caller's greenlet would wait for ever.
                queue.put(Finished(error))

    def _run_claimed(
        self, execution: forward.ModelExecution, queue: gevent.queue.Queue
    ) -> errors.RequestError | None:
        """Queue the parts and store the response.

        Returns:
          The error of a failed execution, None after a complete response.
        """
        try:
            for part in execution.parts():
                if part.data == engine.DONE:
                    stored = claim_rows.StoredResponse(
                        200, STREAM_TYPE, tuple(execution.sent_payloads)
                    )
                    self.components.claims.finish(self.claim, stored)
                queue.put(part)
        except errors.RequestError as error:
            self.record_claim_failure(error)
            return error
        except Exception as error:  # noqa: BLE001 - the caller gets an error response
            return self.record_unexpected_failure(error)
        return None

    # Formats of the response

    def _respond_assembled(self, execution: forward.ModelExecution, parts: Iterator[engine.Part]):
        for _ in parts:
            continue
        self._observe_first_token()
        body = completion.assemble(self.request.path, execution.sent_payloads)
        self._record_run(execution)
        return self.call.respond_json(body, outcome=errors.Outcome.RAN)

    def _iter_events(self, execution, all_parts, execution_parts) -> Iterator[bytes]:
        """Iterate over server-sent events; a failure ends in an error event without end marker.

        Args:
          execution: Execution of the request.
          all_parts: Parts of the whole response.
          execution_parts: Iterator of the execution, closed at the end of the stream.
        """
        gap = self.components.meters.token_gap.labels(self.request.metadata.workload.name)
        clock = self.components.clock
        origin = execution.origin
        last = clock.monotonic()
        try:
            for part in self._iter_interruptible(all_parts):
                now = clock.monotonic()
                gap.observe(now - last)
                last = now
                if not self._is_wanted(part.data):
                    continue
                event = engine_http.encode_event(part.number, part.data)
                yield self._new_token_line(execution, origin) + event
                origin = execution.origin
            self._record_run(execution)
        except errors.RequestError as error:
            self.record(error.status, error.outcome, broke_off=True)
            yield error_event(error)
        except GeneratorExit:
            # 499 is the status that nginx logs when a client closes the connection.
            self.record(499, errors.Outcome.UNKNOWN, caller_left=True)
            raise
        finally:
            execution_parts.close()
            self.components.status.in_flight -= 1

    def _iter_interruptible(self, parts: Iterator[engine.Part]) -> Iterator[engine.Part]:
        while True:
            # Only the wait for a part may be interrupted: an event that is half sent would be
            # followed by the one for the error.
            with self.interruptible():
                part = next(parts, None)
            if part is None:
                return
            yield part

    def _new_token_line(
        self, execution: forward.ModelExecution, previous_origin: forward.Origin
    ) -> bytes:
        """Return a comment line with a new resume token if the job changed, else nothing.

        The line is sent as part of the next event, because some clients treat a comment on its own
        as an empty event.
        """
        if execution.origin is previous_origin:
            return b""
        return f"{TOKEN_COMMENT}{self._sign_token(execution.origin)}\n".encode()

    def _is_wanted(self, data: bytes) -> bool:
        return self.request.wants_usage or not completion.is_only_usage(data)

    def _sign_token(self, origin: forward.Origin) -> str:
        token = resume_token.Token(
            self.request.metadata.team.name,
            origin.endpoint,
            origin.incarnation,
            origin.request_id,
            origin.part_offset,
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
            software=execution.software,
            attempts=execution.attempts,
            prompt_tokens=execution.usage.prompt_tokens,
            cached_tokens=execution.usage.cached_tokens,
        )


def _discard_until_finished(queue: gevent.queue.Queue) -> None:
    """Discard items of a queue without a reader until the execution that fills it ends."""
    while not isinstance(queue.get(), Finished):
        continue


def error_event(error: errors.RequestError) -> bytes:
    """Return the event that reports the failure of a stream; no end marker follows."""
    fields = {"message": str(error), "type": error.kind, "outcome": error.outcome.value}
    return b"data: %b\n\n" % json.dumps({"error": fields}).encode()
