"""Messages between the tasks of a router."""

import dataclasses

from gevent import event

from bronzemux import config, engine, errors, requests
from bronzemux import snapshot as snapshots


@dataclasses.dataclass(frozen=True)
class SnapshotChanged:
    """Another configuration is in force."""

    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True)
class Assignment:
    """An endpoint that was chosen for a request.

    Attributes:
      request: The request.
      endpoint: The endpoint.
      reused_tokens: Tokens expected in its cache.
      assigned: Monotonic seconds.
      expected_seconds: Expected time to its first part.
      variant: The request under the endpoint's weights version, None for plain services.
      imported_tokens: Tokens expected to be imported.
      transfer: What the endpoint imports from and exports to the KV cache store.
    """

    request: requests.Request
    endpoint: config.Endpoint
    reused_tokens: int
    assigned: float
    expected_seconds: float = 0.0
    variant: requests.Variant | None = None
    imported_tokens: int = 0
    transfer: engine.Transfer = engine.NO_TRANSFER


@dataclasses.dataclass(frozen=True)
class Admit:
    """Ask for an endpoint.

    Attributes:
      request: The request.
      reply: Receives an `Assignment` or an error.
      excluded: Endpoints that failed for this request.
      weights_version: Version that must go on with an answer, or empty.
      is_retry: Whether an attempt was made before.
      was_refused: Whether the last attempt was refused as not run.
    """

    request: requests.Request
    reply: event.AsyncResult
    excluded: frozenset[str] = frozenset()
    weights_version: str = ""
    is_retry: bool = False
    was_refused: bool = False


@dataclasses.dataclass(frozen=True)
class CancelAdmission:
    """A request no longer waits for an endpoint."""

    request: requests.Request


@dataclasses.dataclass(frozen=True)
class FirstPart:
    """The first part of an answer arrived."""

    assignment: Assignment
    seconds: float


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
      assignment: What was attempted.
      error: Why it failed, None when it succeeded.
      prompt_tokens: Tokens of the prompt as the engine counts; 0 when unknown.
      cached_tokens: Tokens found in the engine's cache.
      incarnation: Process of the engine that answered, or empty.
      imported_tokens: Tokens that the engine imported from the KV cache store.
      exported_pieces: Leading pieces that the engine exported to it.
    """

    assignment: Assignment
    error: errors.EndpointError | None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    incarnation: str = ""
    imported_tokens: int = 0
    exported_pieces: int = 0


@dataclasses.dataclass(frozen=True)
class RequestEnded:
    """A request left the router, whatever its outcome."""

    request: requests.Request


@dataclasses.dataclass(frozen=True)
class EndpointReport:
    """State that an endpoint reported, and whether events before it were lost."""

    endpoint: str
    state: engine.EngineState
    has_gap: bool


@dataclasses.dataclass(frozen=True)
class EndpointDown:
    """An endpoint refuses connections."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class EndpointAlive:
    """A plain service accepts connections."""

    endpoint: str


@dataclasses.dataclass(frozen=True)
class LeavingEndpoints:
    """Endpoints that the platform is about to take away."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True)
class QuarantinedFingerprints:
    """Fingerprints that were found to crash endpoints."""

    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class LimitShares:
    """Parts of the teams' limits that this router may grant."""

    default_share: float
    shares: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class RouterCount:
    """Number of routers that share the endpoints, this one included."""

    count: int


@dataclasses.dataclass(frozen=True)
class GetStatus:
    """Ask for the state of the dispatcher."""


@dataclasses.dataclass(frozen=True)
class EndpointStatus:
    """State of one endpoint as a router sees it."""

    name: str
    is_available: bool
    is_drained: bool
    in_flight: int
    outstanding_tokens: int
    confidence: float
    rate: float
    incarnation: str
    weights: dict[str, str]


@dataclasses.dataclass(frozen=True)
class DispatcherStatus:
    """State of the dispatcher."""

    version: int
    preset: str
    waiting: int
    running: int
    index_entries: int
    quarantined: int
    endpoints: tuple[EndpointStatus, ...]
    team_requests: tuple[tuple[str, float], ...] = ()
