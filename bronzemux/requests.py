"""Requests of callers: parsing and checking."""

import dataclasses
import json
import re
import uuid
from collections.abc import Mapping

from bronzemux import config, errors, prefix, prompt, quarantine
from bronzemux import snapshot as snapshots

DEFAULT_MAX_TOKENS = 16
MAX_MAX_TOKENS = 1_000_000
MAX_KEY_LENGTH = 200
MAX_DEADLINE_SECONDS = 3600.0
KEY_PATTERN = re.compile(r"[\x21-\x7e]+\Z")
BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What every request has.

    Attributes:
      id: Identity that the router gave.
      team: The caller's team.
      snapshot: Configuration under which the request is decided.
      workload: Kind of the request.
      idempotency_key: Key of the caller, or empty.
      arrived: Monotonic seconds.
      deadline: Monotonic seconds after which the answer is useless.
    """

    id: str
    team: config.Team
    snapshot: snapshots.Snapshot
    workload: config.Workload
    idempotency_key: str
    arrived: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class Variant:
    """A request under one weights version.

    Attributes:
      weights_version: The version.
      salt: Seed of its cache keys.
      chain: Cache keys of the whole pieces of its prompt.
    """

    weights_version: str
    salt: bytes
    chain: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A request for a model.

    Attributes:
      metadata: What every request has.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      model: Name of the model.
      adapter: Adapter with its version, or empty.
      variants: The request under each weights version that may answer.
      tokens: Estimated tokens of its prompt.
      max_tokens: Most tokens to generate.
      body: JSON body for the engine, which asks for a stream with usage.
      wants_stream: Whether the caller wants a stream.
      wants_usage: Whether the caller wants the usage part of a stream.
      fingerprint: Identity of the content, see `quarantine.fingerprint`.
    """

    metadata: RequestMetadata
    path: str
    model: str
    adapter: str
    variants: tuple[Variant, ...]
    tokens: int
    max_tokens: int
    body: bytes
    wants_stream: bool
    wants_usage: bool
    fingerprint: str


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A request for a plain service.

    Attributes:
      metadata: What every request has.
      service: Name of the service.
      method: HTTP method.
      path: Path within the service, with query.
      content_type: Type of the body, or empty.
      body: Body.
      fingerprint: Identity of the content.
    """

    metadata: RequestMetadata
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: str


Request = ModelRequest | ServiceRequest


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request as it came in.

    Attributes:
      id: Identity that the router gave.
      team: The caller's team.
      snapshot: Configuration in force.
      headers: Headers by lower-case name.
      now: Monotonic seconds.
    """

    id: str
    team: config.Team
    snapshot: snapshots.Snapshot
    headers: Mapping[str, str]
    now: float


def new_id() -> str:
    """Return an identity for a request."""
    return uuid.uuid4().hex


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the key of a request.

    Raises:
      errors.AuthenticationFailedError: When there is none.
    """
    value = headers.get("authorization", "")
    if not value.startswith(BEARER_PREFIX):
        raise errors.AuthenticationFailedError(
            "no key was sent", "send the team's key as 'Authorization: Bearer KEY'"
        )
    return value[len(BEARER_PREFIX) :].strip()


def parse_model(arrival: Arrival, path: str, raw: bytes) -> ModelRequest:
    """Check a request for a model.

    Args:
      arrival: The request as it came in.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      raw: Body.

    Raises:
      errors.RequestError: When the request is refused.
    """
    body = decode_body(raw)
    model, adapter = _model(arrival, body)
    name = arrival.headers.get("x-workload", "")
    workload = arrival.snapshot.model_workload(arrival.team, model.name, name)
    text = prompt.render(path, body)
    wants_stream = _boolean(body, "stream")
    wants_usage = wants_stream and _wants_usage(body)
    max_tokens = _max_tokens(body)
    return ModelRequest(
        metadata=_metadata(arrival, workload),
        path=path,
        model=model.name,
        adapter=adapter,
        variants=_variants(arrival, model, adapter, text),
        tokens=prompt.token_estimate(text),
        max_tokens=max_tokens,
        body=_engine_body(body),
        wants_stream=wants_stream,
        wants_usage=wants_usage,
        fingerprint=quarantine.fingerprint(arrival.team.name, raw),
    )


def _variants(
    arrival: Arrival, model: config.Model, adapter: str, text: bytes
) -> tuple[Variant, ...]:
    piece_bytes = arrival.snapshot.config.deployment.piece_bytes
    result = []
    for version in model.versions:
        salt = prefix.salt(arrival.team.name, model.name, adapter, version)
        result.append(Variant(version, salt, prefix.chain(salt, text, piece_bytes)))
    return tuple(result)


def parse_service(
    arrival: Arrival, service: str, method: str, path: str, raw: bytes
) -> ServiceRequest:
    """Check a request for a plain service.

    Args:
      arrival: The request as it came in.
      service: Name of the service.
      method: HTTP method.
      path: Path within the service, with query.
      raw: Body.

    Raises:
      errors.RequestError: When the request is refused.
    """
    known = {item.name for item in arrival.snapshot.config.services}
    if service not in known or service not in arrival.team.services:
        raise errors.PermissionDeniedError(
            f"the team may not use service {service!r}", "ask the operators to allow it"
        )
    workload = arrival.snapshot.service_workload(arrival.team, service, method, path)
    content = f"{service} {method} {path}\n".encode() + raw
    return ServiceRequest(
        metadata=_metadata(arrival, workload),
        service=service,
        method=method,
        path=path,
        content_type=arrival.headers.get("content-type", ""),
        body=raw,
        fingerprint=quarantine.fingerprint(arrival.team.name, content),
    )


def decode_body(raw: bytes) -> dict:
    """Return a JSON body.

    Raises:
      errors.InvalidRequestError: When it is not a JSON object.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequestError(f"the body is not JSON: {error}", "send JSON") from error
    if not isinstance(body, dict):
        raise errors.InvalidRequestError("the body is not a JSON object", "send a JSON object")
    return body


def _metadata(arrival: Arrival, workload: config.Workload) -> RequestMetadata:
    key = arrival.headers.get("idempotency-key", "")
    if key and (len(key) > MAX_KEY_LENGTH or not KEY_PATTERN.match(key)):
        raise errors.InvalidRequestError(
            "the Idempotency-Key is not usable",
            f"send 1 to {MAX_KEY_LENGTH} printable ASCII characters without spaces",
        )
    if not workload.idempotent and not key:
        raise errors.InvalidRequestError(
            f"workload {workload.name!r} is non-idempotent and the request has no key",
            "send an Idempotency-Key header, the same one with each repeat",
        )
    seconds = _deadline(arrival.headers, workload)
    return RequestMetadata(
        arrival.id,
        arrival.team,
        arrival.snapshot,
        workload,
        key,
        arrival.now,
        arrival.now + seconds,
    )


def _deadline(headers: Mapping[str, str], workload: config.Workload) -> float:
    value = headers.get("x-deadline-seconds")
    if value is None:
        return workload.objective.deadline_seconds
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise errors.InvalidRequestError(
            "X-Deadline-Seconds is not usable",
            f"send a number above 0 and at most {MAX_DEADLINE_SECONDS:g}",
        )
    return seconds


def _model(arrival: Arrival, body: Mapping) -> tuple[config.Model, str]:
    name = body.get("model")
    if not isinstance(name, str):
        raise errors.InvalidRequestError("'model' is not a string", "name a model")
    base, _, adapter_name = name.partition(":")
    model = arrival.snapshot.models.get(base)
    if model is None or base not in arrival.team.models:
        raise errors.PermissionDeniedError(
            f"the team may not use model {base!r}", "list the allowed models with GET /v1/models"
        )
    if not adapter_name:
        return model, ""
    for adapter in model.adapters:
        if adapter.name == adapter_name:
            return model, f"{adapter.name}@{adapter.version}"
    raise errors.NotFoundError(
        f"model {base!r} has no adapter {adapter_name!r}", "list them with GET /v1/models"
    )


def _boolean(body: Mapping, field: str) -> bool:
    value = body.get(field)
    if value is None or isinstance(value, bool):
        return bool(value)
    raise errors.InvalidRequestError(
        f"'{field}' is not true or false", f"send {field}: true or false"
    )


def _wants_usage(body: Mapping) -> bool:
    options = body.get("stream_options")
    if options is None:
        return False
    if not isinstance(options, dict):
        raise errors.InvalidRequestError("'stream_options' is not an object", "send an object")
    return _boolean(options, "include_usage")


def _max_tokens(body: Mapping) -> int:
    for field in ("max_completion_tokens", "max_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if type(value) is not int or not 0 < value <= MAX_MAX_TOKENS:
            raise errors.InvalidRequestError(
                f"'{field}' is not usable", f"send a whole number from 1 to {MAX_MAX_TOKENS}"
            )
        return value
    return DEFAULT_MAX_TOKENS


def _engine_body(body: dict) -> bytes:
    asked = body | {"stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(asked, ensure_ascii=False).encode()
