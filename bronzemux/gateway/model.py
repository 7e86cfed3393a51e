"""Domain types of the gateway; the platform adapter decodes its formats into them."""

import dataclasses
import enum
import functools
import hashlib
from collections.abc import Mapping

from bronzemux import records


class RouteKind(enum.Enum):
    """Kind of a route: whether its requests may be retried after a failed execution."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@records.record
class Share:
    """One target of a weighted traffic split.

    Attributes:
      service: Name of the service that receives this share of the route's requests.
      weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@records.record
class Route:
    """Route for requests of one host whose path starts with a prefix.

    Attributes:
      name: Name used in logs.
      host: Host, in lower case without port.
      prefix: Path prefix; starts and ends with a slash.
      kind: Whether and how requests may be retried.
      shares: Traffic split over the services that serve the route.
      timeout_seconds: Longest time until a request has its whole response.
      objective_seconds: Latency objective, for a stream until its first event.
      max_attempts: Most endpoints that may execute one request.
      priority: 0 is the most urgent.
      is_anonymous: Whether requests need no API key.
      is_resumable: Whether another endpoint may resume an interrupted stream.
      pause_objective_seconds: Objective for the pauses between the events of a stream, 0 for none.
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
    pause_objective_seconds: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.is_resumable)


@records.record
class EngineTraits:
    """Properties common to all endpoints of a model service.

    Attributes:
      slots: Requests in one batch.
      cache_tokens: KV memory for running requests and cached prompt parts, in tokens.
      models: Names of the models.
      has_backups: Whether endpoints accept KV backups of requests that other endpoints execute.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    has_backups: bool = False


@records.record
class Service:
    """Group of interchangeable endpoints.

    Attributes:
      name: Name.
      engine: Properties of the endpoints of a model service, None for any other service.
      cache_store: IP address and port when the service stores KV cache for the others, else empty.
      data_centre: Data centre of the cache store.
      cache_tokens: Capacity of the cache store in tokens.
    """

    name: str
    engine: EngineTraits | None = None
    cache_store: str = ""
    data_centre: str = ""
    cache_tokens: int = 0


@records.record
class UsageCap:
    """Cap on the usage of a team, for all routers together.

    Attributes:
      rate: Units per second, above 0.
      burst: Units that the team may use beyond the rate.
      counts_tokens: Whether the unit is a token; otherwise it is a request.
      default_tokens: Tokens of a request that does not state them.
    """

    rate: float
    burst: float
    counts_tokens: bool = True
    default_tokens: int = 0

    def units(self, request: "Request") -> int:
        """Return the units that a request counts for."""
        if not self.counts_tokens:
            return 1
        tokens = request.prompt.memory_tokens if request.prompt is not None else 0
        return tokens or self.default_tokens


@records.record
class Team:
    """Team that owns API keys.

    Attributes:
      name: Name.
      key_digests: Digests of its keys, made by `digest_key`.
      priority: 0 is the most urgent, None for the priority of the route.
      is_isolated: Whether the team shares cached prompt parts with no other team.
      usage_cap: Cap on its usage, None for no cap.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    is_isolated: bool = False
    usage_cap: UsageCap | None = None


@records.record
class CallerLimits:
    """Limits on the size and the duration of what callers send, in bytes and seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@records.record
class Configuration:
    """One version of the operator's configuration.

    Attributes:
      version: Increases with each change.
      routes: Routes by host, the longest prefix first.
      services: Services by name.
      limits: Limits that apply to callers.
      teams: Teams by key digest; empty when the configuration defines none.
      isolated_teams: Names of the isolated teams, also of those without keys.
      team_names: Names of all teams, also of those without keys.
      has_teams: Whether requests need an API key, except on anonymous routes.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    teams: Mapping[bytes, Team] = dataclasses.field(default_factory=dict)
    has_teams: bool = False
    isolated_teams: frozenset[str] = frozenset()
    team_names: frozenset[str] = frozenset()

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None when none matches.

        Args:
          host: Host header; its port and case are ignored.
          path: Path, with or without a query.
        """
        path = path.partition("?")[0]
        for route in self.routes.get(host.partition(":")[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def team(self, key: str | None) -> Team | None:
        """Return the team that owns an API key, None when no team does."""
        return self.teams.get(digest_key(key)) if key else None

    @functools.cached_property
    def usage_caps(self) -> Mapping[str, UsageCap]:
        """Return the usage caps by name of the team."""
        return {t.name: t.usage_cap for t in self.teams.values() if t.usage_cap is not None}

    def longest_pause_objective(self) -> float:
        """Return the longest objective for pauses of a stream's route in seconds, 0 without one."""
        return max(
            (
                route.pause_objective_seconds
                for routes in self.routes.values()
                for route in routes
                if route.kind is RouteKind.STREAM
            ),
            default=0.0,
        )

    def cache_stores(self) -> tuple[Service, ...]:
        """Return the services that store KV cache."""
        return tuple(s for s in self.services.values() if s.cache_store)

    def cache_store(self, address: str) -> Service | None:
        """Return the service whose cache store has an address, None when there is none."""
        return next((s for s in self.cache_stores() if s.cache_store == address), None)


def digest_key(key: str) -> bytes:
    """Return the digest that is stored in place of an API key."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


@records.record
class Endpoint:
    """An endpoint as registered in the store.

    Attributes:
      id: Identity.
      service: Name of its service.
      address: IP address and port.
      data_centre: Data centre of the endpoint.
      slots: Requests that it executes concurrently.
      is_draining: Whether it accepts no new requests.
      weights: Version of the weights by model.
      started_at_ms: Unix time of its start in milliseconds; distinguishes a restarted endpoint from
        its predecessor of the same identity.
      heartbeats: Number of heartbeats that the entry counts; it alone makes entries no different.
      software: Version of its software, which has no order; not that of its weights.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)
    started_at_ms: int = 0
    heartbeats: int = dataclasses.field(default=0, compare=False)
    software: str = ""

    @functools.cached_property
    def incarnation(self) -> str:
        """Return an identifier that is unique to this start of the endpoint."""
        return f"{self.id}/{self.started_at_ms}"


@records.record
class WeightsTarget:
    """Version of a model's weights that the operator requests."""

    model: str
    version: int


@records.record
class PromptPart:
    """Part of a prompt: its identity and its length in tokens."""

    id: str
    tokens: int


@records.record
class Prompt:
    """Description of a prompt, taken from the request's headers.

    Attributes:
      model: Name of the model.
      tokens: Length of the whole prompt in tokens.
      max_output_tokens: Most tokens to generate.
      parts: Parts in order, as far as they are used for routing.
      further_part_ids: Ids of the parts that follow; of all parts if their description is malformed.
    """

    model: str
    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    further_part_ids: tuple[str, ...] = ()

    @functools.cached_property
    def part_ids(self) -> tuple[str, ...]:
        """Return the ids of all parts; the last one is specific to the request or its session."""
        return (*(part.id for part in self.parts), *self.further_part_ids)

    @property
    def memory_tokens(self) -> int:
        """Return the most tokens of an endpoint's memory that the request occupies."""
        return self.tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@records.record
class Request:
    """A caller's request.

    Attributes:
      id: Identity of the caller's attempt.
      method: HTTP method.
      target: Path and query.
      host: Host header.
      fields: Header fields to forward.
      body: Complete body.
      key: API key, None when absent.
      deadline_seconds: How long the caller waits, None when it sets no deadline.
      prompt: Description of the prompt, None for requests without a model.
      last_event_id: Event after which a stream is to resume, None to start at the beginning.
      resumes: Identity of the caller's attempt that brought the first event of that stream, None
        when the caller does not name it.
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
    resumes: str | None = None


@records.record
class Directives:
    """Instructions that the gateway adds to a request for an endpoint.

    Attributes:
      endpoint: The only endpoint that may execute the request.
      remaining_seconds: Time left until the deadline.
      team: Name of the caller's team, empty for none.
      urgency: 0 is the most urgent, None for the endpoint's default.
      weights: Version of the weights that must be loaded, None for any.
      cache_salt: Namespace of the cached prompt parts, empty for none.
      fetch_from: Address from which the endpoint can fetch cached parts, empty for none.
      save_to: Address of the cache store that receives the parts, empty for none.
      last_event_id: Event after which the stream resumes, None for the beginning.
      backup_to: Address of an endpoint that receives a KV backup of the request, empty for none.
      is_continuation: Whether the endpoint continues an execution from the KV backup that it has.
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


@records.record
class ResponseHead:
    """Head of an endpoint's response.

    Attributes:
      status: HTTP status.
      reason: Reason phrase.
      fields: Header fields to pass on to the caller.
      request_id: Identity of the request, None when the endpoint does not state it.
      is_not_executed: Whether the endpoint states that it did not execute the request.
      is_misdirected: Whether the address now belongs to another endpoint or one with other weights.
      is_sealed: Whether the response carries the endpoint's signature.
      weights: Version of the weights in use, None when the endpoint does not state it.
      idle_seconds: How long the endpoint keeps an idle connection, None when it does not state it.
      is_leaving: Whether the endpoint announces that it leaves.
      pause_seconds: For how long the endpoint, which refuses the request, wants no others from this
        gateway; 0 when it does not say so.
      malformed_fields: Names of the header fields with a value that could not be decoded, of those
        with which the endpoint asks something of the gateway.
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
    is_leaving: bool = False
    pause_seconds: float = 0.0
    malformed_fields: tuple[str, ...] = ()

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class Protocol:
    """Interface to the HTTP conventions of callers and endpoints.

    Implemented by the platform adapter.
    """

    def decode_request(self, head, body: bytes) -> Request:
        """Decode a caller's request.

        Args:
          head: `http1.Head`.
          body: Complete body.

        Raises:
          http1.FramingError: When a header field that the gateway uses is missing or repeated.
        """
        raise NotImplementedError

    def encode_request(self, request: Request, directives: Directives) -> bytes:
        """Encode the head of the request to an endpoint."""
        raise NotImplementedError

    def decode_response(self, head) -> ResponseHead:
        """Decode the head of an endpoint's response."""
        raise NotImplementedError

    def encode_response(self, head: ResponseHead, request: Request, extra) -> bytes:
        """Encode the head of the response to the caller.

        Args:
          head: Head of the endpoint's response.
          request: The caller's request.
          extra: Header fields that frame the body, as pairs of name and value.
        """
        raise NotImplementedError

    def encode_refusal(
        self, request_id: str | None, status: int, text: str, retry_after: float | None, is_closing
    ) -> bytes:
        """Encode a complete error response of the gateway.

        Args:
          request_id: Identity of the request, None when it is unknown.
          status: HTTP status.
          text: Body of the response.
          retry_after: Seconds after which a retry is useful, None for no Retry-After header.
          is_closing: Whether the connection is closed after the response.
        """
        raise NotImplementedError
