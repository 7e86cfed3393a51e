"""Messages between the tasks of a router."""

import dataclasses

from gevent import event

from bronzemux import config, engine, errors, requests
from bronzemux import snapshot as snapshots


@dataclasses.dataclass(frozen=True)
class SnapshotChanged:
    """A new configuration came into force."""

    snapshot: snapshots.Snapshot


@dataclasses.dataclass(frozen=True)
class Assignment:
    """An endpoint that was chosen for a request.

    Attributes:
      request: The request.
      endpoint: The endpoint.
      reused_tokens: Prompt tokens expected in its cache.
      assigned_at: Monotonic seconds of the assignment.
      expected_seconds: Expected time to the first part of the response.
      variant: Weights version and piece keys of the request, None for plain services.
      imported_tokens: Prompt tokens expected to be imported.
      transfer: What the endpoint imports from and exports to the KV cache store.
    """

    request: requests.Request
    endpoint: config.Endpoint
    reused_tokens: int
    assigned_at: float
    expected_seconds: float = 0.0
    variant: requests.Variant | None = None
    imported_tokens: int = 0
    transfer: engine.Transfer = engine.NO_TRANSFER


@dataclasses.dataclass(frozen=True)
class Admit:
    """Asks the dispatcher to admit a request and assign an endpoint to it.

    Attributes:
      request: The request.
      reply: Set to an `Assignment` or an error.
      excluded: Names of endpoints that failed for this request.
      weights_version: Weights version that must continue a partly sent response; empty for any.
      is_retry: Whether the request was attempted before.
      was_refused: Whether the last attempt was refused, or dropped before its first part.
      software: Software version that must continue a partly sent response; None for any.
      failed: Names of the endpoints in `excluded` that failed rather than refused the request.
    """

    request: requests.Request
    reply: event.AsyncResult
    excluded: frozenset[str] = frozenset()
    weights_version: str = ""
    is_retry: bool = False
    was_refused: bool = False
    software: str | None = None
    failed: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class CancelAdmission:
    """Cancels an `Admit` whose request may still be queued."""

    request: requests.Request


@dataclasses.dataclass(frozen=True)
class FirstPart:
    """The first part of a response arrived.

    Attributes:
      assignment: The assignment that was attempted.
      seconds: Time to the first part.
    """

    assignment: Assignment
    seconds: float


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
      assignment: The assignment that was attempted.
      error: Why it failed, None when it succeeded.
      prompt_tokens: Tokens of the prompt as counted by the engine, 0 when unknown.
      cached_tokens: Prompt tokens found in the engine's cache.
      incarnation: Incarnation of the engine that responded, or empty.
      imported_tokens: Tokens that the engine imported from the KV cache store.
      exported_pieces: Number of leading pieces that the engine exported to it.
      pause_seconds: For how long the endpoint wants no requests, None when that is malformed.
    """

    assignment: Assignment
    error: errors.EndpointError | None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    incarnation: str = ""
    imported_tokens: int = 0
    exported_pieces: int = 0
    pause_seconds: float | None = 0.0


@dataclasses.dataclass(frozen=True)
class RequestEnded:
    """A request ended, whatever its outcome."""

    request: requests.Request


@dataclasses.dataclass(frozen=True)
class EndpointReport:
    """State that an endpoint reported, and whether cache events before this report were lost."""

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
    """Names of all endpoints whose VM the platform is about to remove."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True)
class QuarantinedFingerprints:
    """Fingerprints that other routers quarantined."""

    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class LimitShares:
    """Shares of the teams' limits that this router may grant, 0 to 1.

    Attributes:
      default_share: Share of each team that is not in `shares`.
      shares: Names of teams and their shares.
    """

    default_share: float
    shares: tuple[tuple[str, float], ...]


@dataclasses.dataclass(frozen=True)
class RouterCount:
    """Number of routers that share the endpoints, this one included."""

    count: int


@dataclasses.dataclass(frozen=True)
class GetStatus:
    """Request for a `DispatcherStatus`."""


@dataclasses.dataclass(frozen=True)
class EndpointStatus:
    """Status of one endpoint as a router sees it, as reported to operators.

    Attributes:
      name: Name of the endpoint.
      is_available: Whether it may get new requests.
      is_drained: Whether the preset, an operator or the removal of its VM drains it.
      in_flight: Requests of this router that run there.
      outstanding_tokens: Prompt tokens that it has still to compute for these requests.
      confidence: Fraction of predicted cache reuse that recent responses confirmed, 0 to 1.
      rate: Expected prefill speed in tokens per second.
      incarnation: Identity of its process, empty before the first report.
      weights: Loaded weights version by model.
      software: Version of its software, empty if it states none.
    """

    name: str
    is_available: bool
    is_drained: bool
    in_flight: int
    outstanding_tokens: int
    confidence: float
    rate: float
    incarnation: str
    weights: dict[str, str]
    software: str = ""


@dataclasses.dataclass(frozen=True)
class DispatcherStatus:
    """Status of the dispatcher.

    Attributes:
      version: Version of the configuration in force, 0 before the first.
      preset: Name of the preset in force.
      waiting: Number of queued requests.
      running: Number of requests that run at endpoints.
      index_entries: Number of keys in the prefix index.
      quarantined: Number of quarantined fingerprints.
      endpoints: Status of all endpoints.
      team_requests: Requests admitted since the dispatcher started, by team.
    """

    version: int
    preset: str
    waiting: int
    running: int
    index_entries: int
    quarantined: int
    endpoints: tuple[EndpointStatus, ...]
    team_requests: tuple[tuple[str, float], ...] = ()
