"""Typed ends of a request and of an attempt."""

import dataclasses

from bronzemux import errors
from bronzemux.gateway import model


class CallerLeftError(errors.BronzemuxError):
    """The caller closed its connection while its request was served."""


class DeadlineError(errors.BronzemuxError):
    """The caller's deadline or the route's timeout has passed."""


class RefusedError(errors.BronzemuxError):
    """The request is answered by the gateway itself.

    Args:
      status: HTTP status.
      message: What happened.
      remedy: What the caller can do.
      retry_after: Seconds after which a repeat is useful, None for no advice.
    """

    def __init__(self, status: int, message: str, remedy: str, retry_after: float | None = None):
        super().__init__(message, remedy)
        self.status = status
        self.retry_after = retry_after


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The attempt is proved not to have run.

    Attributes:
      cause: Why.
      is_sent: Whether bytes of it reached the endpoint, so that it counts as an arrival.
    """

    cause: str
    is_sent: bool


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """The attempt failed after bytes of it were sent.

    Attributes:
      cause: Why.
      answer: The endpoint's failure, None when there is no whole one.
      body: Its body.
      is_crash: Whether the connection broke as it does when an endpoint dies.
    """

    cause: str
    answer: model.ResponseHead | None = None
    body: bytes = b""
    is_crash: bool = False
