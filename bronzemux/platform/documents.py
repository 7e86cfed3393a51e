"""Decoders of the operator's documents and of the endpoints' entries in the platform's store."""

import dataclasses
import reprlib

from bronzemux.gateway import cluster_state, model
from bronzemux.platform import fields

OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
CONFIG_KEY = "config"
WEIGHTS_KEY_PREFIX = "version/"
ENDPOINT_STATES = ("ready", "draining")
# Far above the capacity of any engine, and small enough for arithmetic with floating-point numbers.
MAX_SLOTS = 1_000_000
MAX_TOKENS = 10**12
TOKEN_UNIT = "token_stream"
REQUEST_UNIT = "request"
USAGE_UNITS = (REQUEST_UNIT, TOKEN_UNIT)


class PlatformDocuments(cluster_state.DocumentDecoder):
    """Decoders of the documents in the platform's store."""

    operator_table = OPERATOR_TABLE
    endpoint_table = ENDPOINT_TABLE

    def decode_operator(self, key: str, data: bytes):
        """Decode a configuration or a weights target; return None for any other key."""
        if key == CONFIG_KEY:
            return decode_configuration(data)
        if key.startswith(WEIGHTS_KEY_PREFIX):
            return decode_weights(data)
        return None

    def decode_endpoint(self, key: str, data: bytes) -> model.Endpoint:
        """Decode the entry of an endpoint."""
        return decode_endpoint(key, data)

    def rank_operator(self, key: str, data: bytes) -> tuple | None:
        """Return the version in a configuration or a weights target."""
        try:
            document = self.decode_operator(key, data)
        except (fields.DocumentError, ValueError):
            return None
        return None if document is None else (document.version,)

    def rank_endpoint(self, key: str, data: bytes) -> tuple | None:
        """Return the start and the heartbeats of an entry."""
        try:
            document = fields.load(data)
            return (fields.integer(document, "born", 0), fields.integer(document, "sequence"))
        except (fields.DocumentError, ValueError):
            return None


def decode_configuration(data: bytes) -> model.Configuration:
    """Decode the configuration, which the store holds as `op/config`.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    document = fields.load(data)
    routes: dict[str, list[model.Route]] = {}
    for item in fields.items(document, "routes"):
        route = decode_route(fields.table(item, "route"))
        routes.setdefault(route.host, []).append(route)
    services = [
        decode_service(fields.table(s, "service")) for s in fields.items(document, "services")
    ]
    entries = [
        decode_team(fields.table(item, "tenant")) for item in fields.items(document, "tenants", [])
    ]
    # A team with several entries is isolated if any of them says so.
    isolated_teams = frozenset(team.name for team in entries if team.is_isolated)
    teams = {}
    for entry in entries:
        team = dataclasses.replace(entry, is_isolated=entry.name in isolated_teams)
        teams.update(dict.fromkeys(team.key_digests, team))
    return model.Configuration(
        version=fields.integer(document, "version"),
        routes={
            host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
            for host, host_routes in routes.items()
        },
        services={service.name: service for service in services},
        limits=decode_limits(fields.table(document.get("limits") or {}, "limits")),
        teams=teams,
        has_teams="tenants" in document,
        isolated_teams=isolated_teams,
        team_names=frozenset(team.name for team in entries),
    )


def decode_route(item: dict) -> model.Route:
    """Decode a route.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    split = [fields.table(part, "share") for part in fields.items(item, "split", [])]
    shares = tuple(
        model.Share(fields.identifier(part, "service"), fields.number(part, "weight"))
        for part in split
    )
    timeout_ms = fields.number(item, "timeout_ms")
    return model.Route(
        name=fields.identifier(item, "name"),
        host=fields.identifier(item, "host").lower(),
        prefix=fields.identifier(item, "prefix"),
        kind=_route_kind(fields.identifier(item, "kind")),
        shares=shares or (model.Share(fields.identifier(item, "service"), 1.0),),
        timeout_seconds=timeout_ms / 1000,
        objective_seconds=fields.number(item, "target_latency_ms", timeout_ms) / 1000,
        max_attempts=max(1, fields.integer(item, "max_attempts", 1)),
        priority=fields.integer(item, "priority", 5),
        is_anonymous=fields.flag(item, "anonymous", False),
        is_resumable=fields.flag(item, "resumable", False),
        pause_objective_seconds=fields.number(item, "target_gap_ms", 0.0) / 1000,
    )


def _route_kind(value: str) -> model.RouteKind:
    try:
        return model.RouteKind(value)
    except ValueError as error:
        raise fields.DocumentError(
            f"kind {reprlib.repr(value)} is unknown", "use safe, unsafe or stream"
        ) from error


def decode_service(item: dict) -> model.Service:
    """Decode a service.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    engine = item.get("engine")
    if engine is not None:
        fields.table(engine, "engine")
        models = [fields.table(m, "model") for m in fields.items(engine, "models", [])]
        engine = model.EngineTraits(
            slots=fields.integer(engine, "slots", maximum=MAX_SLOTS),
            cache_tokens=fields.integer(engine, "kv_capacity_tokens", maximum=MAX_TOKENS),
            models=tuple(fields.identifier(entry, "name") for entry in models),
            # By the platform's protocol, endpoints accept KV backups unless this field is false.
            has_backups=fields.flag(engine, "backups", True),
        )
    return model.Service(
        name=fields.identifier(item, "name"),
        engine=engine,
        cache_store=(
            fields.unicast_address(item, "kv_store_addr") if "kv_store_addr" in item else ""
        ),
        data_centre=fields.identifier(item, "zone", ""),
        cache_tokens=fields.integer(item, "kv_capacity_tokens", 0, MAX_TOKENS),
    )


def decode_team(item: dict) -> model.Team:
    """Decode a team.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    # No request can carry a key that is no valid text.
    keys = [
        key
        for key in fields.items(item, "api_keys", [])
        if isinstance(key, str) and fields.is_encodable(key)
    ]
    return model.Team(
        name=fields.identifier(item, "name"),
        key_digests=frozenset(model.digest_key(key) for key in keys),
        priority=fields.integer(item, "priority") if "priority" in item else None,
        is_isolated=fields.flag(item, "isolated", False),
        usage_cap=_usage_cap(item),
    )


def _usage_cap(item: dict) -> model.UsageCap | None:
    rate = fields.number(item, "rate_per_s", 0.0)
    burst = fields.number(item, "burst", 0.0)
    unit = fields.identifier(item, "unit", REQUEST_UNIT)
    if unit not in USAGE_UNITS:
        raise fields.DocumentError(
            f"unit {reprlib.repr(unit)} is unknown", f"use one of {', '.join(USAGE_UNITS)}"
        )
    default_tokens = fields.integer(item, "uncached_tokens", 0, MAX_TOKENS)
    if not rate:
        return None
    return model.UsageCap(rate, burst, unit == TOKEN_UNIT, default_tokens)


def decode_limits(item: dict) -> model.CallerLimits:
    """Decode the limits of what callers send.

    Raises:
      fields.DocumentError: When they are malformed.
    """
    defaults = model.CallerLimits()
    return model.CallerLimits(
        max_head_bytes=fields.integer(item, "max_header_bytes", defaults.max_head_bytes),
        max_body_bytes=fields.integer(item, "max_body_bytes", defaults.max_body_bytes),
        head_timeout_seconds=fields.number(
            item, "header_timeout_ms", defaults.head_timeout_seconds * 1000
        )
        / 1000,
        idle_timeout_seconds=fields.number(
            item, "idle_timeout_ms", defaults.idle_timeout_seconds * 1000
        )
        / 1000,
    )


def decode_weights(data: bytes) -> model.WeightsTarget:
    """Decode the weights target of a model, which the store holds as `op/version/MODEL`.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    document = fields.load(data)
    return model.WeightsTarget(
        fields.identifier(document, "model"), fields.integer(document, "version")
    )


def decode_endpoint(key: str, data: bytes) -> model.Endpoint:
    """Decode the entry of an endpoint.

    The field `version` is the version of the endpoint's software; the versions of its weights are
    under `models`. The field `sequence` counts heartbeats here, but
    orders in a report.

    Args:
      key: Key of the row, the endpoint's identity.
      data: Value of the row.

    Raises:
      fields.DocumentError: When it is malformed.
    """
    document = fields.load(data)
    state = fields.identifier(document, "state")
    if state not in ENDPOINT_STATES:
        raise fields.DocumentError(
            f"state {reprlib.repr(state)} is unknown", "use ready or draining"
        )
    # Required by the format, but not used by the gateway.
    fields.number(document, "cold_left_ms")
    weights = {}
    for item in fields.items(document, "models", []):
        entry = fields.table(item, "model")
        weights[fields.identifier(entry, "name")] = fields.integer(entry, "version")
    slots = fields.integer(document, "slots", maximum=MAX_SLOTS)
    if not slots or not key:
        raise fields.DocumentError("the endpoint has no slots or no identity", "add them")
    return model.Endpoint(
        id=key,
        service=fields.identifier(document, "service"),
        address=fields.unicast_address(document, "address"),
        data_centre=fields.identifier(document, "zone"),
        slots=slots,
        software=fields.identifier(document, "version"),
        is_draining=state == "draining",
        weights=weights,
        started_at_ms=fields.integer(document, "born", 0),
        heartbeats=fields.integer(document, "sequence"),
    )
