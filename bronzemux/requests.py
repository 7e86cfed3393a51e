"""Requests of callers: data classes, parsing and validation."""

import dataclasses
import json
import re
import uuid
from collections.abc import Mapping

from bronzemux import config, errors, prefix, prompt, quarantine
from bronzemux import snapshot as snapshots

DEFAULT_MAX_TOKENS = 16
MAX_TOKENS_LIMIT = 1_000_000
MAX_IDEMPOTENCY_KEY_LENGTH = 200
MAX_DEADLINE_SECONDS = 3600.0
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]+\Z")
BEARER_PREFIX = "Bearer "


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """Properties that model and service requests have in common.

    Attributes:
      id: Request id that the router generated.
      team: Team of the caller.
      snapshot: Configuration that applies to the request.
      workload: Workload to which the request belongs.
      idempotency_key: Idempotency key of the caller, or empty.
      arrived: Time of arrival, in monotonic seconds.
      deadline: Time after which the caller has no use for the response, in monotonic seconds.
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
    """Cache keys of a prompt under one weights version.

    Attributes:
      weights_version: Weights version.
      salt: Seed of the cache keys, see `prefix.salt`.
      chain: Cache keys of the complete pieces of the prompt, see `prefix.chain`.
    """

    weights_version: str
    salt: bytes
    chain: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class ModelRequest:
    """A request for a model.

    Attributes:
      metadata: Properties that all requests have.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      model: Name of the model.
      adapter: Adapter as `NAME@VERSION`, or empty.
      variants: Cache keys under each weights version that may serve the request.
      tokens: Estimated number of prompt tokens.
      max_tokens: Maximum number of tokens to generate.
      body: JSON body for the engine, which requests a stream with usage.
      wants_stream: Whether the caller requested a stream.
      wants_usage: Whether the caller requested the usage part of a stream.
      fingerprint: Hash of team and content, see `quarantine.fingerprint`.
      prefix_fingerprints: The same of the beginnings of the prompt, see `prompt.prefix_lengths`.
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
    prefix_fingerprints: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return all fingerprints, each of which implies those before it."""
        return (*self.prefix_fingerprints, self.fingerprint)


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """A request for a plain service.

    Attributes:
      metadata: Properties that all requests have.
      service: Name of the service.
      method: HTTP method.
      path: Path within the service, with query.
      content_type: Content type of the body, or empty.
      body: Body of the request.
      fingerprint: Hash of team and content, see `quarantine.fingerprint`.
    """

    metadata: RequestMetadata
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: str

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return all fingerprints."""
        return (self.fingerprint,)


Request = ModelRequest | ServiceRequest


@dataclasses.dataclass(frozen=True)
class AuthenticatedRequest:
    """An authenticated request whose body is not parsed yet.

    Attributes:
      id: Request id that the router generated.
      team: Team of the caller.
      snapshot: Configuration in force.
      headers: Headers by lower-case name.
      arrived: Time of arrival, in monotonic seconds.
    """

    id: str
    team: config.Team
    snapshot: snapshots.Snapshot
    headers: Mapping[str, str]
    arrived: float


def new_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the API key in the headers of a request.

    Raises:
      errors.AuthenticationFailedError: When the request has no bearer token.
    """
    value = headers.get("authorization", "")
    if not value.startswith(BEARER_PREFIX):
        raise errors.AuthenticationFailedError(
            "the request has no API key", "send the team's key as 'Authorization: Bearer KEY'"
        )
    return value[len(BEARER_PREFIX) :].strip()


def parse_model(authenticated: AuthenticatedRequest, path: str, raw: bytes) -> ModelRequest:
    """Parse and validate a request for a model.

    Args:
      authenticated: The authenticated request.
      path: `prompt.CHAT_PATH` or `prompt.TEXT_PATH`.
      raw: Body of the request.

    Raises:
      errors.RequestError: When the request is invalid or not permitted.
    """
    body = decode_body(raw)
    model, adapter = _find_model(authenticated, body)
    name = authenticated.headers.get("x-workload", "")
    workload = authenticated.snapshot.model_workload(authenticated.team, model.name, name)
    text = prompt.render(path, body)
    wants_stream = _boolean(body, "stream")
    wants_usage = wants_stream and _wants_usage(body)
    max_tokens = _max_tokens(body)
    return ModelRequest(
        metadata=_build_metadata(authenticated, workload),
        path=path,
        model=model.name,
        adapter=adapter,
        variants=_variants(authenticated, model, adapter, text),
        tokens=prompt.token_estimate(text),
        max_tokens=max_tokens,
        body=_encode_engine_body(body),
        wants_stream=wants_stream,
        wants_usage=wants_usage,
        fingerprint=quarantine.fingerprint(authenticated.team.name, raw),
        prefix_fingerprints=quarantine.prefix_fingerprints(
            f"{authenticated.team.name}/{model.name}",
            text,
            prompt.prefix_lengths(path, body, authenticated.snapshot.config.deployment.piece_bytes),
        ),
    )


def _variants(
    authenticated: AuthenticatedRequest, model: config.Model, adapter: str, text: bytes
) -> tuple[Variant, ...]:
    piece_bytes = authenticated.snapshot.config.deployment.piece_bytes
    result = []
    for version in model.versions:
        salt = prefix.salt(authenticated.team.name, model.name, adapter, version)
        result.append(Variant(version, salt, prefix.chain(salt, text, piece_bytes)))
    return tuple(result)


def parse_service(
    authenticated: AuthenticatedRequest, service: str, method: str, path: str, raw: bytes
) -> ServiceRequest:
    """Parse and validate a request for a plain service.

    Args:
      authenticated: The authenticated request.
      service: Name of the service.
      method: HTTP method.
      path: Path within the service, with query.
      raw: Body of the request.

    Raises:
      errors.RequestError: When the request is invalid or not permitted.
    """
    service_names = {item.name for item in authenticated.snapshot.config.services}
    if service not in service_names or service not in authenticated.team.services:
        raise errors.PermissionDeniedError(
            f"the team may not use service {service!r}", "ask the operators for permission"
        )
    workload = authenticated.snapshot.service_workload(authenticated.team, service, method, path)
    content = f"{service} {method} {path}\n".encode() + raw
    return ServiceRequest(
        metadata=_build_metadata(authenticated, workload),
        service=service,
        method=method,
        path=path,
        content_type=authenticated.headers.get("content-type", ""),
        body=raw,
        fingerprint=quarantine.fingerprint(authenticated.team.name, content),
    )


def decode_body(raw: bytes) -> dict:
    """Decode the JSON body of a request.

    Raises:
      errors.InvalidRequestError: When the body is not a JSON object.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRequestError(
            f"the body is not valid JSON: {error}", "send a JSON object"
        ) from error
    if not isinstance(body, dict):
        raise errors.InvalidRequestError("the body is not a JSON object", "send a JSON object")
    return body


def _build_metadata(
    authenticated: AuthenticatedRequest, workload: config.Workload
) -> RequestMetadata:
    key = authenticated.headers.get("idempotency-key", "")
    if key and (len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not IDEMPOTENCY_KEY_PATTERN.match(key)):
        raise errors.InvalidRequestError(
            "the Idempotency-Key is invalid",
            f"send 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} printable ASCII characters without spaces",
        )
    if not workload.idempotent and not key:
        raise errors.InvalidRequestError(
            f"workload {workload.name!r} is not idempotent and the request has no Idempotency-Key",
            "send an Idempotency-Key header and repeat it with each retry",
        )
    seconds = _deadline_seconds(authenticated.headers, workload)
    return RequestMetadata(
        authenticated.id,
        authenticated.team,
        authenticated.snapshot,
        workload,
        key,
        authenticated.arrived,
        authenticated.arrived + seconds,
    )


def _deadline_seconds(headers: Mapping[str, str], workload: config.Workload) -> float:
    value = headers.get("x-deadline-seconds")
    if value is None:
        return workload.objective.deadline_seconds
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise errors.InvalidRequestError(
            "X-Deadline-Seconds is invalid",
            f"send a number greater than 0 and at most {MAX_DEADLINE_SECONDS:g}",
        )
    return seconds


def _find_model(authenticated: AuthenticatedRequest, body: Mapping) -> tuple[config.Model, str]:
    name = body.get("model")
    if not isinstance(name, str):
        raise errors.InvalidRequestError(
            "'model' is missing or not a string", "send the name of a model"
        )
    model_name, _, adapter_name = name.partition(":")
    model = authenticated.snapshot.models.get(model_name)
    if model is None or model_name not in authenticated.team.models:
        raise errors.PermissionDeniedError(
            f"the team may not use model {model_name!r}",
            "list the permitted models with GET /v1/models",
        )
    if not adapter_name:
        return model, ""
    for adapter in model.adapters:
        if adapter.name == adapter_name:
            return model, f"{adapter.name}@{adapter.version}"
    raise errors.NotFoundError(
        f"model {model_name!r} has no adapter {adapter_name!r}", "list them with GET /v1/models"
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
        if type(value) is not int or not 0 < value <= MAX_TOKENS_LIMIT:
            raise errors.InvalidRequestError(
                f"'{field}' is invalid", f"send an integer from 1 to {MAX_TOKENS_LIMIT}"
            )
        return value
    return DEFAULT_MAX_TOKENS


def _encode_engine_body(body: dict) -> bytes:
    engine_body = body | {"stream": True, "stream_options": {"include_usage": True}}
    return json.dumps(engine_body, ensure_ascii=False).encode()
