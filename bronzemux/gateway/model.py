"""Types that the gateway decides with; the platform adapter decodes into them."""

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Mapping


class RouteKind(enum.Enum):
    """What may be done with a request whose execution failed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a route's requests.

    Attributes:
      service: Name of the service that gets them.
      weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
      name: Name for logs.
      host: Host, in lower case without port.
      prefix: Begins and ends with a slash.
      kind: What may be repeated.
      shares: Services that serve the route.
      timeout_seconds: Longest time a request is kept waiting.
      objective_seconds: Time to the answer, of a stream to its first event.
      max_attempts: Endpoints that may run one request.
      priority: 0 is the most urgent.
      is_anonymous: Whether no key is asked for.
      is_resumable: Whether another endpoint may continue a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_seconds: float
    objective_seconds: float
    max_attempts: int = 1
    priority: int = 5
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.is_resumable)


@dataclasses.dataclass(frozen=True)
class EngineTraits:
    """What all endpoints of a model service have in common.

    Attributes:
      slots: Requests in one batch.
      cache_tokens: Memory for running requests and cached parts.
      models: Names of the models.
      has_backups: Whether they take copies of the memory of others' runs.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    has_backups: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """Endpoints of one kind.

    Attributes:
      name: Name.
      engine: Traits of a model service, None for a plain one.
      cache_store: IP number and port when the service keeps KV cache for the others.
      data_centre: Data centre of the cache store.
      cache_tokens: Tokens that the cache store keeps.
    """

    name: str
    engine: EngineTraits | None = None
    cache_store: str = ""
    data_centre: str = ""
    cache_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Team:
    """Owner of keys.

    Attributes:
      name: Name.
      key_digests: Digests of its keys, made by `digest_key`.
      priority: 0 is the most urgent, None for the route's.
      is_isolated: Whether its cached parts are shared with no other team.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take, in bytes and seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
      version: Rises with each change.
      routes: Routes by host, the longest prefix first.
      services: Services by name.
      limits: Limits of callers.
      teams: Teams by digest of a key; empty when no keys are used.
      has_teams: Whether keys are asked for.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    teams: Mapping[bytes, Team] = dataclasses.field(default_factory=dict)
    has_teams: bool = False

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None when none matches.

        Args:
          host: Host header; a port and the case do not matter.
          path: Path with or without query.
        """
        path = path.partition("?")[0]
        for route in self.routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str | None) -> Team | None:
        """Return the team of a key, None when no team holds it."""
        return self.teams.get(digest_key(key)) if key else None

    def cache_stores(self) -> tuple[Service, ...]:
        """Return the services that keep KV cache."""
        return tuple(s for s in self.services.values() if s.cache_store)

    def cache_store(self, address: str) -> Service | None:
        """Return the service that keeps KV cache at an address, None when none does."""
        return next((s for s in self.cache_stores() if s.cache_store == address), None)


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint as it registered itself.

    Attributes:
      id: Identity.
      service: Name of its service.
      address: IP number and port.
      data_centre: Where it is.
      slots: Requests it runs at once.
      is_draining: Whether it takes no new work.
      weights: Version of the weights by model.
      started_at_ms: Unix milliseconds of its start; tells two starts under one identity apart.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    started_at_ms: int = 0

    @functools.cached_property
    def incarnation(self) -> str:
        """Return what names this start of the endpoint alone."""
        return f"{self.id}/{self.started_at_ms}"


@dataclasses.dataclass(frozen=True)
class WeightsTarget:
    """Version of a model's weights that the operator asks for."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """Part of a prompt by identity, with its length in tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request says of its prompt.

    Attributes:
      model: Name of the model.
      tokens: Tokens of the whole prompt.
      max_output_tokens: Most tokens that are generated.
      parts: Parts in order; the last belongs to the request or its session.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return the tokens of an endpoint's memory that it takes at most."""
        return self.tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have as well."""
        return self.parts[:-1]


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request.

    Attributes:
      id: Identity of the caller's attempt.
      method: HTTP method.
      target: Path and query.
      host: Host header.
      fields: Header fields that are forwarded.
      body: Whole body.
      key: API key, None when absent.
      deadline_seconds: How long the caller waits, None when it does not say.
      prompt: What it says of its prompt, None for other requests.
      last_event_id: Event after which a stream is to go on, None for the start.
    """

    id: str
    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    key: str | None = None
    deadline_seconds: float | None = None
    prompt: Prompt | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True)
class Directives:
    """What the gateway tells an endpoint beside the caller's request.

    Attributes:
      endpoint: The only endpoint that may run it.
      remaining_seconds: Time that is left.
      team: Name of the caller's team.
      urgency: 0 is the most urgent, None for the endpoint's default.
      weights: Version that must be loaded, None for any.
      cache_salt: Space of cached parts, empty for none.
      fetch_from: Address of a holder of cached parts, empty for none.
      save_to: Address of the store that keeps the parts, empty for none.
      last_event_id: Event after which the stream goes on.
      backup_to: Address of an endpoint that gets a copy of the run's memory, empty for none.
      is_continuation: Whether the endpoint is to go on from the copy that it was sent of the run.
    """

    endpoint: Endpoint
    remaining_seconds: float
    team: str = ""
    urgency: int | None = None
    weights: int | None = None
    cache_salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    last_event_id: int | None = None
    backup_to: str = ""
    is_continuation: bool = False


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Start of an endpoint's answer.

    Attributes:
      status: HTTP status.
      reason: Text after the status.
      fields: Header fields that are passed on.
      request_id: Request that it answers, None when it does not say.
      is_not_executed: Whether the endpoint states that it did not run the request.
      is_misdirected: Whether another endpoint, or other weights, are at the address.
      is_sealed: Whether the endpoint proves the answer with its signature.
      weights: Version of the weights that run it, None when it does not say.
      idle_seconds: How long the endpoint keeps an idle connection, None when it does not say.
      is_closing: Whether the endpoint closes the connection after the answer.
    """

    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]
    request_id: str | None = None
    is_not_executed: bool = False
    is_misdirected: bool = False
    is_sealed: bool = False
    weights: int | None = None
    idle_seconds: float | None = None
    is_closing: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class Protocol:
    """Interface to what callers and endpoints speak; implemented by the platform adapter."""

    def decode_request(self, head, body: bytes) -> Request:
        """Return a caller's request.

        Args:
          head: `http1.Head`.
          body: Whole body.

        Raises:
          http1.FramingError: When a field that decides is malformed.
        """
        raise NotImplementedError

    def encode_request(self, request: Request, directives: Directives) -> bytes:
        """Return the bytes of the request to the endpoint."""
        raise NotImplementedError

    def decode_response(self, head) -> ResponseHead:
        """Return the start of an endpoint's answer."""
        raise NotImplementedError

    def encode_response(self, head: ResponseHead, request: Request, extra) -> bytes:
        """Return the head of the answer to the caller.

        Args:
          head: The endpoint's head.
          request: The caller's request.
          extra: Pairs of fields that frame the body.
        """
        raise NotImplementedError

    def encode_refusal(
        self, request_id: str | None, status: int, text: str, retry_after: float | None, is_closing
    ) -> bytes:
        """Return a whole answer of the gateway itself."""
        raise NotImplementedError
