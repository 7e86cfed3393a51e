"""Execution of a model request: attempts, resumption and continuation of its response stream.

A broken stream is resumed when its engine still has the job: the router reads the rest of the
response over a new connection. Otherwise an idempotent request is continued: another endpoint
receives the text generated so far and generates the rest.
"""

import dataclasses
from collections.abc import Callable, Iterator

import gevent
from gevent import event

from bronzemux import clock as clocks
from bronzemux import (
    completion,
    dispatcher,
    engine,
    errors,
    logs,
    messages,
    metrics,
    requests,
)

MAX_STREAM_RESUMES = 3
MAX_REFUSED_ATTEMPTS = 8
# Lets the dispatcher, which checks its queue every 0.25 s, reject an expired request itself.
ADMISSION_GRACE_SECONDS = 0.5
RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class ExecutionDependencies:
    """Components that an execution uses.

    Attributes:
      dispatcher: Task that assigns endpoints to requests.
      engine_of: Returns the engine at an endpoint.
      clock: Source of time.
      meters: Metrics of the router.
    """

    dispatcher: dispatcher.Dispatcher
    engine_of: Callable
    clock: clocks.Clock
    meters: metrics.Metrics


@dataclasses.dataclass(frozen=True)
class Origin:
    """Engine job that generates the current parts of a response.

    Attributes:
      endpoint: Name of the endpoint.
      incarnation: Incarnation of the engine.
      request_id: Id of the job at the engine.
      part_offset: Number that part 0 of the job has in the response to the caller.
    """

    endpoint: str
    incarnation: str
    request_id: str
    part_offset: int


class BaseExecution:
    """Attempts of one request; base class of the executions of model and service requests.

    Args:
      request: The request.
      dependencies: Components that the execution uses.
    """

    def __init__(self, request: requests.Request, dependencies: ExecutionDependencies):
        self.request = request
        self.dependencies = dependencies
        self.attempts = 0
        self.refused_attempts = 0
        self.pause_seconds: float | None = 0.0
        self.last_failure: errors.EndpointError | None = None
        self.excluded_endpoints: frozenset[str] = frozenset()
        self.may_have_run = False
        self.usage = completion.Usage()
        self.incarnation = ""
        self.weights_version = ""

    def acquire_assignment(self) -> messages.Assignment:
        """Wait until the dispatcher assigns an endpoint to the next attempt.

        Returns:
          The assignment.

        Raises:
          errors.RequestError: When the request is refused; `outcome` states whether it may have
            run in an earlier attempt.
        """
        reply = event.AsyncResult()
        is_retry = self.attempts > 0
        admission = messages.Admit(
            self.request,
            reply,
            self.excluded_endpoints,
            self.weights_version,
            is_retry,
            isinstance(self.last_failure, errors.EndpointRefusedError),
        )
        self.dependencies.dispatcher.send(admission)
        wait_seconds = self.request.metadata.deadline - self.dependencies.clock.monotonic()
        try:
            return reply.get(timeout=max(0.0, wait_seconds) + ADMISSION_GRACE_SECONDS)
        except gevent.Timeout:
            self._cancel_admission(reply)
            raise errors.OverloadedError(
                "the deadline passed before an endpoint was assigned",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
                self.outcome(),
            ) from None
        except errors.OverloadedError as error:
            if self.last_failure is not None:
                raise self._final_error(self.last_failure) from error
            raise
        except errors.RequestError as error:
            error.outcome = self.outcome()
            raise
        except BaseException:
            self._cancel_admission(reply)
            raise

    def _cancel_admission(self, reply: event.AsyncResult) -> None:
        """Cancel the admission, and release an endpoint that was assigned in the meantime."""
        self.dependencies.dispatcher.send(messages.CancelAdmission(self.request))

        def release_assignment(result: event.AsyncResult) -> None:
            if result.successful():
                failure = errors.EndpointAbandonedError(
                    "the request was cancelled before it was sent", "none needed"
                )
                self.report_attempt_end(result.value, failure)

        reply.rawlink(release_assignment)

    def outcome(self) -> errors.Outcome:
        """Return what is known about the execution of a request that got no response."""
        return errors.Outcome.UNKNOWN if self.may_have_run else errors.Outcome.NOT_RUN

    def check_retry(self, assignment: messages.Assignment, error) -> None:
        """Record a failed attempt and check that the request may be retried.

        Attempts that endpoints refused did not run and count only towards `MAX_REFUSED_ATTEMPTS`.

        Args:
          assignment: Assignment of the failed attempt.
          error: Failure of the attempt.

        Raises:
          errors.RequestError: When no retry is allowed; the error is for the caller.
        """
        metadata = self.request.metadata
        self.excluded_endpoints |= {assignment.endpoint.name}
        self.last_failure = error
        is_safe_to_retry = metadata.workload.idempotent or not self.may_have_run
        if isinstance(error, errors.EndpointRejectedError):
            raise errors.RejectedByEndpointError(
                error.message, "correct the request", error.status
            ) from error
        if isinstance(error, errors.EndpointRefusedError):
            self.refused_attempts += 1
        failures = self.attempts - self.refused_attempts
        has_retries_left = (
            failures < metadata.snapshot.preset.retry_attempts
            and self.refused_attempts < MAX_REFUSED_ATTEMPTS
        )
        logs.event(
            "attempt_failed",
            "warning",
            request=metadata.id,
            endpoint=assignment.endpoint.name,
            kind=type(error).__name__,
            cause=error.message,
            retried=is_safe_to_retry and has_retries_left,
        )
        if not is_safe_to_retry or not has_retries_left:
            raise self._final_error(error) from error

    def _final_error(self, error: errors.EndpointError) -> errors.RequestError:
        """Return the error for the caller after the last attempt failed."""
        if not self.may_have_run:
            return errors.UnavailableError(
                f"no endpoint accepted the request: {error.message}",
                "send again after Retry-After",
                RETRY_AFTER_SECONDS,
            )
        return errors.OutcomeUnknownError(
            f"the endpoint failed while it processed the request: {error.message}",
            "query the outcome with GET /v1/requests/KEY, or send an idempotent request again",
            outcome=errors.Outcome.UNKNOWN,
        )

    def report_attempt_end(
        self, assignment: messages.Assignment, failure: errors.EndpointError | None
    ) -> None:
        """Report the end of an attempt to the dispatcher.

        Args:
          assignment: Assignment of the attempt.
          failure: Failure of the attempt, None after a complete response.
        """
        attempt_end = messages.AttemptEnded(
            assignment,
            failure,
            self.usage.prompt_tokens,
            self.usage.cached_tokens,
            self.incarnation,
            self.usage.imported_tokens,
            self.usage.exported_pieces,
            self.pause_seconds if failure is None else failure.pause_seconds,
        )
        self.dependencies.dispatcher.send(attempt_end)


class ModelExecution(BaseExecution):
    """Execution of one model request from admission to the end of its response.

    An idempotent request whose endpoint fails is continued at another endpoint: the next endpoint
    receives the text generated so far and generates the rest, so that the response is never a
    mixture of two. A non-idempotent request is sent to another endpoint only when it certainly did
    not run.

    Args:
      request: The request.
      dependencies: Components that the execution uses.
    """

    def __init__(self, request: requests.ModelRequest, dependencies: ExecutionDependencies):
        super().__init__(request, dependencies)
        self.sent_payloads: list[bytes] = []
        self.origin: Origin | None = None
        self.is_done = False

    def parts(self) -> Iterator[engine.Part]:
        """Iterate over the parts of the complete response, numbered from 0.

        Raises:
          errors.RequestError: When the response cannot be completed; `outcome` states whether the
            request may have run.
        """
        try:
            while not self.is_done:
                yield from self._attempt(self.acquire_assignment())
        finally:
            self.dependencies.dispatcher.send(messages.RequestEnded(self.request))

    # Attempts

    def _attempt(self, assignment: messages.Assignment) -> Iterator[engine.Part]:
        self.attempts += 1
        failure: errors.EndpointError | None = errors.EndpointLostError(
            "the attempt was aborted", "none needed"
        )
        try:
            yield from self._stream_attempt(assignment)
            failure = None
        except errors.EndpointError as error:
            failure = error
            self.check_retry(assignment, error)
            if self.sent_payloads:
                self.dependencies.meters.continued.inc()
        except GeneratorExit:
            failure = errors.EndpointAbandonedError("the caller disconnected", "none needed")
            self._cancel_job(assignment)
            raise
        finally:
            self.report_attempt_end(assignment, failure)

    def _stream_attempt(self, assignment: messages.Assignment) -> Iterator[engine.Part]:
        """Start a job at the assigned endpoint and iterate over its parts as the caller sees them.

        The parts are numbered within the whole response.
        """
        started = self.dependencies.clock.monotonic()
        target_engine = self.dependencies.engine_of(assignment.endpoint)
        job = self._build_job(assignment)
        part_offset = len(self.sent_payloads)
        is_continuation = part_offset > 0
        stream = self._start_job(target_engine, job, assignment)
        self.incarnation = stream.incarnation
        self.origin = Origin(
            assignment.endpoint.name, stream.incarnation, job.request_id, part_offset
        )
        try:
            for part in self._iter_resuming(target_engine, stream, job.request_id, assignment):
                if part.number == 0:
                    seconds = self.dependencies.clock.monotonic() - started
                    self.dependencies.dispatcher.send(messages.FirstPart(assignment, seconds))
                self.weights_version = job.weights_version
                yield self._record_part(part, part_offset, is_continuation)
        finally:
            stream.close()

    def _start_job(self, target_engine, job, assignment) -> engine.ResponseStream:
        """Start a job; if it is uncertain whether it started, try to resume its stream."""
        try:
            return target_engine.start(job)
        except errors.EndpointError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                raise
            self.may_have_run = True
            if isinstance(error, errors.EndpointFailedError):
                raise
            if isinstance(error, errors.EndpointProtocolError):
                self.dependencies.meters.dropped_answers.inc()
            return self._resume_job(target_engine, job.request_id, 0, assignment, error)

    def _iter_resuming(
        self, target_engine, stream, request_id, assignment
    ) -> Iterator[engine.Part]:
        """Iterate over the parts of a job; when the connection breaks, resume over a new one."""
        self.may_have_run = True
        incarnation = stream.incarnation
        next_number = 0
        for resume_count in range(MAX_STREAM_RESUMES + 1):
            try:
                for part in stream:
                    next_number = part.number + 1
                    yield part
                return
            except errors.EndpointProtocolError:
                raise
            except errors.EndpointError as error:
                stream.close()
                if resume_count == MAX_STREAM_RESUMES:
                    raise
                stream = self._resume_job(target_engine, request_id, next_number, assignment, error)
                if stream.incarnation != incarnation:
                    stream.close()
                    raise errors.EndpointLostError(
                        "the endpoint restarted during the response", "continue at another endpoint"
                    ) from error
                self.dependencies.meters.resumed.inc()

    def _resume_job(
        self, target_engine, request_id, offset, assignment, cause
    ) -> engine.ResponseStream:
        """Return the rest of a response from its engine.

        Args:
          target_engine: Engine that runs the job.
          request_id: Id of the job.
          offset: Number of the first part to receive.
          assignment: Assignment of the attempt.
          cause: Failure of the previous connection.

        Raises:
          errors.EndpointLostError: When the response cannot be resumed; its message contains both
            failures.
        """
        try:
            return target_engine.resume(request_id, offset)
        except errors.EndpointUnreachableError as error:
            self.dependencies.dispatcher.send(messages.EndpointDown(assignment.endpoint.name))
            raise errors.EndpointLostError(
                f"{cause.message}; then {error.message}", "continue at another endpoint"
            ) from error
        except errors.EndpointError as error:
            raise errors.EndpointLostError(
                f"{cause.message}; then {error.message}", "continue at another endpoint"
            ) from error

    def _build_job(self, assignment: messages.Assignment) -> engine.Job:
        request, variant = self.request, assignment.variant
        metadata = request.metadata
        suffix = f".{self.attempts}" if self.attempts > 1 else ""
        return engine.Job(
            request_id=metadata.id + suffix,
            path=request.path,
            body=request.body,
            salt=variant.salt,
            weights_version=variant.weights_version,
            priority=metadata.workload.priority,
            idempotency_key=metadata.idempotency_key,
            continue_text=completion.joined_text(self.sent_payloads),
            may_reuse_connection=metadata.workload.idempotent,
            transfer=assignment.transfer,
            adapter=request.adapter,
        )

    def _record_part(
        self, part: engine.Part, part_offset: int, is_continuation: bool
    ) -> engine.Part:
        data = part.data
        if is_continuation:
            data = completion.relabel(data, completion.decode(self.sent_payloads[0]))
        usage = completion.decode_usage(data)
        if usage is not None:
            self.usage = usage
        self.sent_payloads.append(data)
        self.is_done = data == engine.DONE
        return engine.Part(part_offset + part.number, data)

    def _cancel_job(self, assignment: messages.Assignment) -> None:
        """Cancel an idempotent job after its caller disconnected; other jobs run to their end."""
        if not self.request.metadata.workload.idempotent or self.origin is None or self.is_done:
            return
        target_engine = self.dependencies.engine_of(assignment.endpoint)
        gevent.spawn(_cancel_at_engine, target_engine, self.origin.request_id)


def _cancel_at_engine(target_engine: engine.Engine, request_id: str) -> None:
    try:
        target_engine.cancel(request_id)
    except errors.EndpointError as error:
        logs.event("cancel_failed", "debug", request=request_id, cause=error.message)
