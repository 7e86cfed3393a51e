"""Errors that end a request, and results of an attempt."""

from collections.abc import Mapping

from bronzemux import errors, records
from bronzemux.gateway import model, placement


class CallerLeftError(errors.BronzemuxError):
    """The caller closed its connection while its request was served."""


class DeadlineError(errors.BronzemuxError):
    """The caller's deadline or the route's timeout has passed."""


class RefusedError(errors.BronzemuxError):
    """The gateway itself responds to the request with an error.

    Args:
      status: HTTP status.
      message: What happened.
      remedy: What the caller can do.
      retry_after: Seconds after which a retry is useful, None for no advice.
      inputs: Inputs of the decision, for the log.

    Attributes:
      status_if_sent: Status for a request that an endpoint may have executed.
    """

    status_if_sent = 502

    def __init__(
        self,
        status: int,
        message: str,
        remedy: str,
        retry_after: float | None = None,
        inputs: Mapping[str, object] | None = None,
    ):
        super().__init__(message, remedy)
        self.inputs = inputs or {}
        self.status = status
        self.retry_after = retry_after


class ShutdownError(RefusedError):
    """The process exits before the request can end."""

    status_if_sent = 504

    def __init__(self):
        super().__init__(503, "the router is shutting down", "try another router", 0.0)


@records.record
class Delivered:
    """The caller has the complete response.

    Attributes:
      status: HTTP status of the response.
    """

    status: int


@records.record
class NotExecuted:
    """The endpoint provably did not execute the request.

    Attributes:
      cause: Reason, for logs and metrics.
      has_arrived: Whether bytes of the request reached the endpoint, so that a retry counts
        against the retry budget.
    """

    cause: str
    has_arrived: bool


@records.record
class PossiblyExecuted:
    """The attempt failed after bytes of the request were sent.

    Attributes:
      cause: Reason, for logs and metrics.
      response: Head of the endpoint's error response, None without a complete one.
      body: Body of that response.
      is_crash: Whether the endpoint's VM ended the connection, as when the endpoint crashes.
      has_begun: Whether an event of the response had arrived.
      successor: Choice that takes over the request, None when none was reserved.
    """

    cause: str
    response: model.ResponseHead | None = None
    body: bytes = b""
    is_crash: bool = False
    has_begun: bool = False
    successor: placement.Choice | None = None
