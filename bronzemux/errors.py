"""Exception classes; each message states the problem and the remedy."""

import enum


class Outcome(enum.Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class BronzemuxError(Exception):
    """Base class of the errors of the package.

    Args:
      message: What happened.
      remedy: What the reader can do about it.
    """

    def __init__(self, message: str, remedy: str = ""):
        super().__init__(f"{message}; {remedy}" if remedy else message)
        self.message = message
        self.remedy = remedy


class SettingError(BronzemuxError):
    """A flag or environment variable has an invalid value."""


class ConfigProblemError(BronzemuxError):
    """One error in a configuration document.

    Args:
      path: Path in the document, such as ``teams[0].weight``.
      found: What the document contains there.
      remedy: What it should contain.
    """

    def __init__(self, path: str, found: str, remedy: str):
        super().__init__(f"{path}: {found}", remedy)
        self.path = path
        self.found = found


class ConfigError(ExceptionGroup):
    """All errors found in one configuration document."""

    def derive(self, excs):
        """Return a group of the same kind for ``split`` and ``subgroup``."""
        return ConfigError(self.message, excs)


# Platform


class PlatformError(BronzemuxError):
    """Base class of failures of the table service, the object store and the VM list."""


class PlatformUnavailableError(PlatformError):
    """The call had no effect: the service was unreachable or refused it."""


class AmbiguousWriteError(PlatformError):
    """The response to a write was lost; the write may have taken effect."""


class WriteConflictError(PlatformError):
    """A conditional write found other versions than expected.

    Args:
      keys: Keys of the rows whose version differed.
    """

    def __init__(self, keys: tuple[str, ...]):
        super().__init__(
            f"the version of these rows changed: {', '.join(keys)}",
            "read the rows again and repeat the change",
        )
        self.keys = keys


class LeaseRowError(PlatformError):
    """The row of a lease cannot be decoded."""


class ClaimRowError(BronzemuxError):
    """The row of a claim, or the object with its response, cannot be decoded."""


class HeadError(PlatformError):
    """A row or message cannot be decoded as a configuration head."""


class ConfigConflictError(BronzemuxError):
    """Another operator changed the configuration first."""


# Endpoints


class EndpointError(BronzemuxError):
    """Base class of failures of one attempt at an endpoint.

    Attributes:
      outcome: What is known about the execution of the attempt.
      pause_seconds: For how long the endpoint wants no requests of this router, None when it states
        that in a malformed way.
    """

    outcome = Outcome.UNKNOWN
    pause_seconds: float | None = 0.0


class EndpointUnreachableError(EndpointError):
    """The connection could not be established; no byte of the request was sent."""

    outcome = Outcome.NOT_RUN


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it did not run the request."""

    outcome = Outcome.NOT_RUN


class EndpointAbandonedError(EndpointError):
    """The attempt was cancelled, for example by its caller; the endpoint is not at fault."""


class EndpointMismatchError(EndpointAbandonedError):
    """The endpoint runs other software than the one that began the response."""


class EndpointLostError(EndpointError):
    """The connection broke after bytes of the request were sent."""


class EndpointSilentError(EndpointError):
    """The endpoint made no progress within the progress timeout."""


class EndpointProtocolError(EndpointError):
    """The response is malformed or belongs to another request."""


class EndpointFailedError(EndpointError):
    """The endpoint returned an error that does not prove that the request did not run.

    Args:
      message: What happened.
      remedy: What the reader can do about it.
      status: HTTP status of the response.
    """

    def __init__(self, message: str, remedy: str, status: int):
        super().__init__(message, remedy)
        self.status = status


class EndpointRejectedError(EndpointFailedError):
    """The endpoint rejected the request as invalid; other endpoints would reject it as well."""


class EndpointUnknownRequestError(EndpointError):
    """The endpoint does not know the request that the call refers to."""


# Callers


class RequestError(BronzemuxError):
    """Base class of errors that are returned to callers.

    Args:
      message: What happened.
      remedy: What the caller can do.
      retry_after: Seconds after which the caller should retry, or None.
      outcome: What is known about the execution of the request.

    Attributes:
      status: HTTP status of the response.
      kind: Error type in the JSON body and in logs.
    """

    status = 500
    kind = "internal_error"

    def __init__(
        self,
        message: str,
        remedy: str,
        retry_after: float | None = None,
        outcome: Outcome = Outcome.NOT_RUN,
    ):
        super().__init__(message, remedy)
        self.retry_after = retry_after
        self.outcome = outcome


class InvalidRequestError(RequestError):
    """The request is malformed."""

    status = 400
    kind = "invalid_request_error"


class RejectedByEndpointError(RequestError):
    """The endpoint rejected the request as invalid.

    Args:
      message: What the endpoint reported.
      remedy: What the caller can do.
      status: HTTP status of the endpoint's response.
    """

    kind = "invalid_request_error"

    def __init__(self, message: str, remedy: str, status: int):
        super().__init__(message, remedy, outcome=Outcome.UNKNOWN)
        self.status = status


class AuthenticationFailedError(RequestError):
    """The API key is missing or unknown."""

    status = 401
    kind = "authentication_error"


class PermissionDeniedError(RequestError):
    """The team has no permission for the resource that the request names."""

    status = 403
    kind = "permission_error"


class NotFoundError(RequestError):
    """The named resource does not exist for this team."""

    status = 404
    kind = "not_found_error"


class MethodNotAllowedError(RequestError):
    """The path does not support this method."""

    status = 405
    kind = "method_not_allowed"


class BodyTimeoutError(RequestError):
    """The body did not arrive in time."""

    status = 408
    kind = "request_timeout"


class BodyTooLargeError(RequestError):
    """The body exceeds the limit."""

    status = 413
    kind = "request_too_large"


class IdempotencyConflictError(RequestError):
    """The idempotency key was used before with different content."""

    status = 422
    kind = "idempotency_conflict"


class InProgressError(RequestError):
    """The request with this idempotency key is still running."""

    status = 409
    kind = "request_in_progress"


class AnswerExpiredError(RequestError):
    """The request ran, but its stored response has expired."""

    status = 410
    kind = "answer_expired"


class QuarantinedError(RequestError):
    """The request is quarantined because it crashed endpoints."""

    status = 422
    kind = "request_quarantined"


class LimitExceededError(RequestError):
    """The team exceeded one of its limits."""

    status = 429
    kind = "rate_limit_error"


class OverloadedError(RequestError):
    """The request was rejected because of overload.

    Causes are a full queue, a deadline that passed or would pass in the queue, and an exhausted
    retry budget.
    """

    status = 503
    kind = "overloaded_error"


class UnavailableError(RequestError):
    """A component that the request needs is unavailable."""

    status = 503
    kind = "unavailable_error"


class OutcomeUnknownError(RequestError):
    """The request may or may not have run."""

    status = 502
    kind = "outcome_unknown"


class NoSuccessorError(OutcomeUnknownError):
    """No endpoint may continue a response that has begun."""

    def __init__(self):
        super().__init__(
            "no endpoint with the software that began the response is left",
            "send the request again if it is idempotent",
            outcome=Outcome.UNKNOWN,
        )


class ShutdownError(OutcomeUnknownError):
    """The router exits before the request has ended."""

    def __init__(self):
        super().__init__(
            "the router is shutting down",
            "query the outcome with GET /v1/requests/KEY, or send an idempotent request again",
            outcome=Outcome.UNKNOWN,
        )
