"""Configuration document: frozen data classes, decoding and validation."""

import dataclasses
import hashlib
import tomllib
from collections.abc import Callable, Iterator

import cattrs

from bronzemux import decimal_digits, errors, structuring

KEY_DIGEST_HEX_DIGITS = 64
DEFAULT_PIECE_BYTES = 4096
BYTES_PER_TOKEN = 4
PRESET_NAMES = ("ordinary", "peak", "maintenance")
ENDPOINT_KINDS = ("model", "service")
ENDPOINT_ROLES = ("", "mixed", "prefill", "decode")
OPERATOR_ROLES = ("viewer", "operator", "administrator")


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment and its deployment-wide sizes.

    Attributes:
      name: Name.
      data_centres: Names of its data centres.
      piece_bytes: Length of the pieces of a prompt, the units in which prefixes are compared.
      weight_loads: Number of endpoints that may load weights at the same time.
    """

    name: str
    data_centres: tuple[str, ...]
    piece_bytes: int = DEFAULT_PIECE_BYTES
    weight_loads: int = 2


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one team, which all routers share.

    Attributes:
      requests_per_second: Rate of requests.
      tokens_per_second: Rate of tokens.
      concurrency: Number of requests in progress at the same time.
    """

    requests_per_second: float = 100.0
    tokens_per_second: float = 1_000_000.0
    concurrency: int = 128


@dataclasses.dataclass(frozen=True)
class Team:
    """A team of callers, its API keys, limits, and the models and services that it may use."""

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    limits: Limits = Limits()


@dataclasses.dataclass(frozen=True)
class Adapter:
    """A fine-tuned adapter of a model."""

    name: str
    version: str


@dataclasses.dataclass(frozen=True)
class Model:
    """A model with its current weights version and the version that is being rolled out."""

    name: str
    weights_version: str
    adapters: tuple[Adapter, ...] = ()
    next_weights_version: str = ""
    is_rollout_paused: bool = False

    @property
    def versions(self) -> tuple[str, ...]:
        """Return the weights versions that may serve requests, the current one first."""
        next_version = self.next_weights_version
        return (self.weights_version, next_version) if next_version else (self.weights_version,)


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A backend: a model engine or an instance of a plain service.

    Attributes:
      name: Name.
      data_centre: Data centre.
      address: IP address and port.
      kind: One of `ENDPOINT_KINDS`.
      models: Names of the models that it serves.
      services: Names of the plain services that it serves.
      prefill_tokens_per_second: Prefill throughput.
      slots: Number of requests that it runs at the same time.
      cache_pieces: Capacity of its prefix cache, in pieces of prompts.
      checks_fencing: Whether it rejects orders with an outdated fencing token.
      role: One of `ENDPOINT_ROLES` to order it to take, empty to leave its role unchanged.
    """

    name: str
    data_centre: str
    address: str
    kind: str = "model"
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    prefill_tokens_per_second: float = 10_000.0
    slots: int = 16
    cache_pieces: int = 1_000
    checks_fencing: bool = False
    role: str = ""

    @property
    def host(self) -> str:
        """Return the IP address."""
        return self.address.rpartition(":")[0]

    @property
    def port(self) -> int:
        """Return the TCP port."""
        return int(self.address.rpartition(":")[2])


@dataclasses.dataclass(frozen=True)
class CacheStore:
    """A KV cache store to which engines export prefixes and from which they import them.

    Attributes:
      name: Name of the store.
      tokens_per_second: Limit on the tokens that all engines together import per second.
      export_after_requests: Requests with a prefix at one router after which it has the prefix
        exported.
    """

    name: str
    tokens_per_second: float = 100_000.0
    export_after_requests: int = 2


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service, which runs no model."""

    name: str


@dataclasses.dataclass(frozen=True)
class Objective:
    """Service-level objectives of a workload.

    Attributes:
      first_token_seconds: Limit on the time to first token.
      token_gap_seconds: Limit on the time between consecutive parts of a stream.
      availability: Target fraction of requests that succeed with a known outcome, 0 to 1.
      deadline_seconds: Deadline after the arrival of a request that does not set one.
    """

    first_token_seconds: float = 2.0
    token_gap_seconds: float = 0.1
    availability: float = 0.999
    deadline_seconds: float = 30.0


@dataclasses.dataclass(frozen=True)
class Workload:
    """A class of requests: which requests belong to it, their priority and their objectives.

    Attributes:
      name: Name.
      idempotent: Whether its requests may run more than once.
      teams: Teams that may use it; empty for all teams.
      models: Models of its requests.
      services: Plain services of its requests.
      methods: HTTP methods of its service requests; empty for all methods.
      path_prefix: Prefix of the paths of its service requests.
      priority: Priority in the queue of its team; lower values are served first.
      objective: Objectives of its requests.
    """

    name: str
    idempotent: bool
    teams: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    methods: tuple[str, ...] = ()
    path_prefix: str = ""
    priority: int = 5
    objective: Objective = Objective()


@dataclasses.dataclass(frozen=True)
class Preset:
    """A named set of routing parameters that operators put in force together.

    Attributes:
      name: Name.
      queue_limit: Length of a router's queue at which it admits only requests of teams that have
        less than an equal share of the queue.
      retry_ratio: Retries that the retry budget grants per request.
      retry_attempts: Attempts of a request, the first one included; refusals by endpoints do not
        count.
      load_weight: Weight of an endpoint's load in the routing cost.
      reuse_weight: Weight of the reuse of cached prefixes in the routing cost.
      ejection_limit: Fraction of the endpoints that a router may eject at the same time.
      slow_start_seconds: Time in which a restarted endpoint reaches its full capacity.
      drained_data_centres: Data centres that get no new requests.
      drained_endpoints: Endpoints that get no new requests.
    """

    name: str
    queue_limit: int = 512
    retry_ratio: float = 0.1
    retry_attempts: int = 3
    load_weight: float = 1.0
    reuse_weight: float = 2.0
    ejection_limit: float = 0.34
    slow_start_seconds: float = 10.0
    drained_data_centres: tuple[str, ...] = ()
    drained_endpoints: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Operator:
    """A person who may change the configuration."""

    name: str
    key_digests: tuple[str, ...]
    role: str = "viewer"


@dataclasses.dataclass(frozen=True)
class Operations:
    """Endpoints and VMs that operators drained, in addition to those of the preset."""

    drained_endpoints: tuple[str, ...] = ()
    drained_vms: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Config:
    """A whole configuration document."""

    deployment: Deployment
    preset: str
    presets: tuple[Preset, ...]
    teams: tuple[Team, ...]
    models: tuple[Model, ...]
    endpoints: tuple[Endpoint, ...]
    services: tuple[Service, ...] = ()
    workloads: tuple[Workload, ...] = ()
    operators: tuple[Operator, ...] = ()
    operations: Operations = Operations()
    cache_store: CacheStore | None = None


def digest_key(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key; documents hold digests instead of keys."""
    return hashlib.sha256(key.encode()).hexdigest()


def loads(text: str) -> Config:
    """Decode and validate a TOML document.

    Args:
      text: The document.

    Returns:
      The configuration.

    Raises:
      errors.ConfigError: With one `errors.ConfigProblemError` for each error in the document.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = errors.ConfigProblemError("document", str(error), "correct the TOML syntax")
        raise errors.ConfigError("the configuration is not valid TOML", [problem]) from None
    try:
        config = structuring.converter().structure(document, Config)
    except cattrs.BaseValidationError as error:
        problems = list(structuring.problems(error, ""))
        raise errors.ConfigError("the configuration has errors", problems) from None
    problems = [problem for check in CHECKS for problem in check(config)]
    if problems:
        raise errors.ConfigError("the configuration has errors", problems)
    return config


# Checks that span several fields. Each yields one problem per error.


def check_names(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check that names within each list are unique and not empty."""
    for field in ("teams", "models", "endpoints", "services", "workloads", "presets", "operators"):
        seen = set()
        for position, item in enumerate(getattr(config, field)):
            path = f"{field}[{position}].name"
            if not item.name:
                yield errors.ConfigProblemError(path, "is empty", "add a name")
            if item.name in seen:
                yield errors.ConfigProblemError(
                    path, f"{item.name!r} is a duplicate", "rename one of them"
                )
            seen.add(item.name)


def check_presets(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check that the required presets and the preset in force exist, and check their values."""
    names = {preset.name for preset in config.presets}
    for name in PRESET_NAMES:
        if name not in names:
            yield errors.ConfigProblemError("presets", f"{name!r} is missing", "add this preset")
    if config.preset not in names:
        yield errors.ConfigProblemError(
            "preset", f"{config.preset!r} is unknown", "use the name of a preset"
        )
    for position, preset in enumerate(config.presets):
        path = f"presets[{position}]"
        yield from _check_ratio(f"{path}.retry_ratio", preset.retry_ratio)
        yield from _check_ratio(f"{path}.ejection_limit", preset.ejection_limit)
        yield from _check_positive(f"{path}.queue_limit", preset.queue_limit)
        yield from _check_positive(f"{path}.retry_attempts", preset.retry_attempts)
        yield from _check_known(
            f"{path}.drained_data_centres",
            preset.drained_data_centres,
            config.deployment.data_centres,
        )
        endpoints = [endpoint.name for endpoint in config.endpoints]
        yield from _check_known(f"{path}.drained_endpoints", preset.drained_endpoints, endpoints)


def check_teams(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check keys, weights, limits and references of teams."""
    models = [model.name for model in config.models]
    services = [service.name for service in config.services]
    owners: dict[str, str] = {}
    for position, team in enumerate(config.teams):
        path = f"teams[{position}]"
        yield from _check_positive(f"{path}.weight", team.weight)
        yield from _check_positive(
            f"{path}.limits.requests_per_second", team.limits.requests_per_second
        )
        yield from _check_positive(
            f"{path}.limits.tokens_per_second", team.limits.tokens_per_second
        )
        yield from _check_positive(f"{path}.limits.concurrency", team.limits.concurrency)
        yield from _check_known(f"{path}.models", team.models, models)
        yield from _check_known(f"{path}.services", team.services, services)
        for index, digest in enumerate(team.key_digests):
            field_path = f"{path}.key_digests[{index}]"
            yield from _check_key_digest(field_path, digest)
            if owners.setdefault(digest, team.name) != team.name:
                yield errors.ConfigProblemError(
                    field_path, "is also a key of another team", "rotate the key"
                )


def check_models(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check that every model has a weights version."""
    for position, model in enumerate(config.models):
        if not model.weights_version:
            path = f"models[{position}].weights_version"
            yield errors.ConfigProblemError(path, "is empty", "set the weights version")


def check_endpoints(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check addresses, kinds, sizes and references of endpoints."""
    models = [model.name for model in config.models]
    services = [service.name for service in config.services]
    addresses = set()
    for position, endpoint in enumerate(config.endpoints):
        path = f"endpoints[{position}]"
        yield from _check_known(f"{path}.kind", (endpoint.kind,), ENDPOINT_KINDS)
        yield from _check_known(f"{path}.role", (endpoint.role,), ENDPOINT_ROLES)
        yield from _check_known(
            f"{path}.data_centre", (endpoint.data_centre,), config.deployment.data_centres
        )
        yield from _check_known(f"{path}.models", endpoint.models, models)
        yield from _check_known(f"{path}.services", endpoint.services, services)
        yield from _check_positive(f"{path}.slots", endpoint.slots)
        yield from _check_positive(
            f"{path}.prefill_tokens_per_second", endpoint.prefill_tokens_per_second
        )
        yield from _check_address(f"{path}.address", endpoint.address)
        if endpoint.address in addresses:
            yield errors.ConfigProblemError(
                f"{path}.address", "is the address of another endpoint", "correct one of them"
            )
        addresses.add(endpoint.address)


def check_cache_store(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check the limits of the KV cache store."""
    if config.cache_store is not None:
        store = config.cache_store
        yield from _check_positive("cache_store.tokens_per_second", store.tokens_per_second)
        yield from _check_positive("cache_store.export_after_requests", store.export_after_requests)


def check_workloads(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check objectives, priorities and references of workloads."""
    teams = [team.name for team in config.teams]
    models = [model.name for model in config.models]
    services = [service.name for service in config.services]
    for position, workload in enumerate(config.workloads):
        path = f"workloads[{position}]"
        yield from _check_known(f"{path}.teams", workload.teams, teams)
        yield from _check_known(f"{path}.models", workload.models, models)
        yield from _check_known(f"{path}.services", workload.services, services)
        yield from _check_ratio(f"{path}.objective.availability", workload.objective.availability)
        yield from _check_positive(
            f"{path}.objective.deadline_seconds", workload.objective.deadline_seconds
        )
        if bool(workload.models) == bool(workload.services):
            yield errors.ConfigProblemError(
                path, "has both or neither of models and services", "set exactly one of them"
            )


def check_operators(config: Config) -> Iterator[errors.ConfigProblemError]:
    """Check roles and keys of operators, and references to drained endpoints."""
    for position, operator in enumerate(config.operators):
        path = f"operators[{position}]"
        yield from _check_known(f"{path}.role", (operator.role,), OPERATOR_ROLES)
        for index, digest in enumerate(operator.key_digests):
            yield from _check_key_digest(f"{path}.key_digests[{index}]", digest)
    endpoints = [endpoint.name for endpoint in config.endpoints]
    yield from _check_known(
        "operations.drained_endpoints", config.operations.drained_endpoints, endpoints
    )


CHECKS: tuple[Callable[[Config], Iterator[errors.ConfigProblemError]], ...] = (
    check_names,
    check_presets,
    check_teams,
    check_models,
    check_endpoints,
    check_cache_store,
    check_workloads,
    check_operators,
)


def _check_known(path: str, names, known) -> Iterator[errors.ConfigProblemError]:
    for name in names:
        if name not in known:
            yield errors.ConfigProblemError(
                path, f"{name!r} is unknown", f"use one of {', '.join(known) or 'none'}"
            )


def _check_positive(path: str, value: float) -> Iterator[errors.ConfigProblemError]:
    if not value > 0:
        yield errors.ConfigProblemError(path, f"found {value}", "set a number above 0")


def _check_ratio(path: str, value: float) -> Iterator[errors.ConfigProblemError]:
    if not 0 <= value <= 1:
        yield errors.ConfigProblemError(path, f"found {value}", "set a number from 0 to 1")


def _check_key_digest(path: str, digest: str) -> Iterator[errors.ConfigProblemError]:
    is_hex = all(character in "0123456789abcdef" for character in digest)
    if len(digest) != KEY_DIGEST_HEX_DIGITS or not is_hex:
        yield errors.ConfigProblemError(
            path,
            "is not a hexadecimal SHA-256 digest",
            "create one with `bronzemux-ctl key digest`",
        )


def _check_address(path: str, address: str) -> Iterator[errors.ConfigProblemError]:
    host, separator, port = address.rpartition(":")
    if not separator or not host or decimal_digits.parse_port(port) is None:
        yield errors.ConfigProblemError(path, f"found {address!r}", "use IP:PORT")
