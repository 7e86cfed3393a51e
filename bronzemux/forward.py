"""Execution of a model request: attempts, resumption and continuation of its answer."""

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

MAX_RESUMES = 3
MAX_REFUSALS = 8
ADMISSION_GRACE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class ExecutionDependencies:
    """What executing a request needs.

    Attributes:
      dispatcher: Task that assigns endpoints.
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
    """Where an answer comes from.

    Attributes:
      endpoint: Name of the endpoint.
      incarnation: Process of the engine.
      request_id: Identity of the job at the engine.
      base: Number that the engine's first part has for the caller.
    """

    endpoint: str
    incarnation: str
    request_id: str
    base: int


class BaseExecution:
    """A request on its way through attempts; base of the executions of both kinds.

    Args:
      request: The request.
      tools: What executing needs.
    """

    def __init__(self, request: requests.Request, tools: ExecutionDependencies):
        self.request = request
        self.tools = tools
        self.attempts = 0
        self.refusals = 0
        self.last_failure: errors.EndpointError | None = None
        self.excluded: frozenset[str] = frozenset()
        self.may_have_run = False
        self.usage = completion.Usage()
        self.incarnation = ""
        self.weights_version = ""

    def assignment(self) -> messages.Assignment:
        """Return an endpoint for the next attempt.

        Raises:
          errors.RequestError: When the request is refused; its outcome is true.
        """
        reply = event.AsyncResult()
        is_retry = self.attempts > 0
        admit = messages.Admit(
            self.request,
            reply,
            self.excluded,
            self.weights_version,
            is_retry,
            isinstance(self.last_failure, errors.EndpointRefusedError),
        )
        self.tools.dispatcher.send(admit)
        wait = self.request.metadata.deadline - self.tools.clock.monotonic()
        try:
            return reply.get(timeout=max(0.0, wait) + ADMISSION_GRACE_SECONDS)
        except gevent.Timeout:
            self._abandon(reply)
            raise errors.OverloadedError(
                "the deadline passed before a start",
                "send again after Retry-After",
                ADMISSION_GRACE_SECONDS,
                self.outcome(),
            ) from None
        except errors.OverloadedError as error:
            if self.last_failure is not None:
                raise self._final(self.last_failure) from error
            raise
        except errors.RequestError as error:
            error.outcome = self.outcome()
            raise
        except BaseException:
            self._abandon(reply)
            raise

    def _abandon(self, reply: event.AsyncResult) -> None:
        """Leave the queue, and give back an endpoint that was assigned meanwhile."""
        self.tools.dispatcher.send(messages.CancelAdmission(self.request))

        def give_back(result: event.AsyncResult) -> None:
            if result.successful():
                refused = errors.EndpointAbandonedError(
                    "the caller left before the start", "none needed"
                )
                self.end(result.value, refused)

        reply.rawlink(give_back)

    def outcome(self) -> errors.Outcome:
        """Return what is known about the execution of a request without an answer."""
        return errors.Outcome.UNKNOWN if self.may_have_run else errors.Outcome.NOT_RUN

    def check_continue(self, assignment: messages.Assignment, error) -> None:
        """Return when another attempt may follow.

        Raises:
          errors.RequestError: When none may follow; this is what the caller gets.
        """
        metadata = self.request.metadata
        self.excluded |= {assignment.endpoint.name}
        self.last_failure = error
        is_safe = metadata.workload.idempotent or not self.may_have_run
        if isinstance(error, errors.EndpointRejectedError):
            raise errors.RejectedByEndpointError(
                error.message, "correct the request", error.status
            ) from error
        if isinstance(error, errors.EndpointRefusedError):
            self.refusals += 1
        failures = self.attempts - self.refusals
        has_attempts = (
            failures < metadata.snapshot.preset.retry_attempts and self.refusals < MAX_REFUSALS
        )
        logs.event(
            "attempt_failed",
            "warning",
            request=metadata.id,
            endpoint=assignment.endpoint.name,
            kind=type(error).__name__,
            cause=error.message,
            retried=is_safe and has_attempts,
        )
        if not is_safe or not has_attempts:
            raise self._final(error) from error

    def _final(self, error: errors.EndpointError) -> errors.RequestError:
        if not self.may_have_run:
            return errors.UnavailableError(
                f"no endpoint took the request: {error.message}",
                "send again after Retry-After",
                ADMISSION_GRACE_SECONDS,
            )
        return errors.OutcomeUnknownError(
            f"the endpoint was lost during the request: {error.message}",
            "ask for the outcome with GET /v1/requests/KEY, or repeat idempotent work",
            outcome=errors.Outcome.UNKNOWN,
        )

    def end(self, assignment: messages.Assignment, failure: errors.EndpointError | None) -> None:
        """Tell the dispatcher that an attempt ended."""
        ended = messages.AttemptEnded(
            assignment,
            failure,
            self.usage.prompt_tokens,
            self.usage.cached_tokens,
            self.incarnation,
            self.usage.imported_tokens,
            self.usage.exported_pieces,
        )
        self.tools.dispatcher.send(ended)


class ModelExecution(BaseExecution):
    """One model request from admission to the end of its answer.

    An idempotent request whose endpoint dies is continued elsewhere: the next endpoint gets the
    text so far and generates the rest, so that the answer is never mixed from two. A
    non-idempotent request moves to another endpoint only after a proof that it did not run.

    Args:
      request: The request.
      tools: What executing needs.
    """

    def __init__(self, request: requests.ModelRequest, tools: ExecutionDependencies):
        super().__init__(request, tools)
        self.sent: list[bytes] = []
        self.origin: Origin | None = None
        self.is_done = False

    def parts(self) -> Iterator[engine.Part]:
        """Iterate over the parts of the whole answer, numbered from 0.

        Raises:
          errors.RequestError: When no whole answer can be had; its outcome is true.
        """
        try:
            while not self.is_done:
                yield from self._attempt(self.assignment())
        finally:
            self.tools.dispatcher.send(messages.RequestEnded(self.request))

    # Attempts

    def _attempt(self, assignment: messages.Assignment) -> Iterator[engine.Part]:
        self.attempts += 1
        failure: errors.EndpointError | None = errors.EndpointLostError("cut off", "none needed")
        try:
            yield from self._read(assignment)
            failure = None
        except errors.EndpointError as error:
            failure = error
            self.check_continue(assignment, error)
            if self.sent:
                self.tools.meters.continued.inc()
        except GeneratorExit:
            failure = errors.EndpointAbandonedError("the caller left", "none needed")
            self._cancel(assignment)
            raise
        finally:
            self.end(assignment, failure)

    def _read(self, assignment: messages.Assignment) -> Iterator[engine.Part]:
        started = self.tools.clock.monotonic()
        target = self.tools.engine_of(assignment.endpoint)
        job = self._job(assignment)
        base = len(self.sent)
        is_continued = base > 0
        stream = self._start(target, job, assignment)
        self.incarnation = stream.incarnation
        self.origin = Origin(assignment.endpoint.name, stream.incarnation, job.request_id, base)
        try:
            for part in self._resuming(target, stream, job.request_id, assignment):
                if part.number == 0:
                    seconds = self.tools.clock.monotonic() - started
                    self.tools.dispatcher.send(messages.FirstPart(assignment, seconds))
                self.weights_version = job.weights_version
                yield self._take(part, base, is_continued)
        finally:
            stream.close()

    def _start(self, target, job, assignment) -> engine.ResponseStream:
        try:
            return target.start(job)
        except errors.EndpointError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                raise
            self.may_have_run = True
            if isinstance(error, errors.EndpointFailedError):
                raise
            if isinstance(error, errors.EndpointProtocolError):
                self.tools.meters.dropped_answers.inc()
            return self._resume(target, job.request_id, 0, assignment, error)

    def _resuming(self, target, stream, request_id, assignment) -> Iterator[engine.Part]:
        """Iterate over an engine's parts, reading on over new connections when one breaks."""
        self.may_have_run = True
        incarnation = stream.incarnation
        next_number = 0
        for resumes in range(MAX_RESUMES + 1):
            try:
                for part in stream:
                    next_number = part.number + 1
                    yield part
                return
            except errors.EndpointProtocolError:
                raise
            except errors.EndpointError as error:
                stream.close()
                if resumes == MAX_RESUMES:
                    raise
                stream = self._resume(target, request_id, next_number, assignment, error)
                if stream.incarnation != incarnation:
                    stream.close()
                    raise errors.EndpointLostError(
                        "the endpoint restarted during the answer", "start again elsewhere"
                    ) from error
                self.tools.meters.resumed.inc()

    def _resume(self, target, request_id, offset, assignment, cause) -> engine.ResponseStream:
        """Return the rest of an answer, or raise the cause when it is lost."""
        try:
            return target.resume(request_id, offset)
        except errors.EndpointUnreachableError as error:
            self.tools.dispatcher.send(messages.EndpointDown(assignment.endpoint.name))
            raise errors.EndpointLostError(
                f"{cause.message}; then {error.message}", "start again elsewhere"
            ) from error
        except errors.EndpointError as error:
            raise errors.EndpointLostError(
                f"{cause.message}; then {error.message}", "start again elsewhere"
            ) from error

    def _job(self, assignment: messages.Assignment) -> engine.Job:
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
            continue_text=completion.joined_text(self.sent),
            may_reuse_connection=metadata.workload.idempotent,
            transfer=assignment.transfer,
            adapter=request.adapter,
        )

    def _take(self, part: engine.Part, base: int, is_continued: bool) -> engine.Part:
        data = part.data
        if is_continued:
            data = completion.relabel(data, completion.decode(self.sent[0]))
        usage = completion.decode_usage(data)
        if usage is not None:
            self.usage = usage
        self.sent.append(data)
        self.is_done = data == engine.DONE
        return engine.Part(base + part.number, data)

    def _cancel(self, assignment: messages.Assignment) -> None:
        """Stop idempotent work that nobody waits for; other work runs to its end."""
        if not self.request.metadata.workload.idempotent or self.origin is None or self.is_done:
            return
        target = self.tools.engine_of(assignment.endpoint)
        gevent.spawn(_cancel_quietly, target, self.origin.request_id)


def _cancel_quietly(target: engine.Engine, request_id: str) -> None:
    try:
        target.cancel(request_id)
    except errors.EndpointError as error:
        logs.event("cancel_failed", "debug", request=request_id, cause=error.message)
