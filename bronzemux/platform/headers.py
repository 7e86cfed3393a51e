"""Codec between the platform's header fields and the gateway's requests and responses."""

import http
import re

from bronzemux import http_client
from bronzemux.gateway import http1, model

REQUEST_ID = "request-id"
DEADLINE = "deadline-ms"
AUTHORIZATION = "authorization"
BEARER = "Bearer "
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
MODEL = "model"
TOKEN_COUNTS = "token-counts"
PROMPT_PREFIX = "prompt-prefix"
TEAM = "tenant"
TARGET_ENDPOINT = "target-instance"
EXPECTED_WEIGHTS = "expect-version"
URGENCY = "request-urgency"
CACHE_SALT = "cache-salt"
FETCH_FROM = "kv-fetch-from"
SAVE_TO = "kv-save-to"
NOT_EXECUTED = "not-executed"
RESPONSE_SEAL = "response-seal"
RUNNING_WEIGHTS = "weight-versions"
LEAVING = "server-leaving"
RETRY_AFTER = "Retry-After"
MISDIRECTED_REQUEST = 421
# Unlike `str.isdigit`, matches only what `int` accepts.
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}\Z")
# Parts of a prompt that are used for routing; of further ones only the ids are.
MAX_PROMPT_PARTS = 256
TOKEN_COUNT_PATTERN = re.compile(r" *[0-9]{1,9} *\Z")

# Only the gateway may set these fields; values sent by callers are dropped.
RESERVED_FIELDS = frozenset(
    {
        TEAM,
        TARGET_ENDPOINT,
        EXPECTED_WEIGHTS,
        URGENCY,
        CACHE_SALT,
        AUTHORIZATION,
        DEADLINE,
        LAST_EVENT_ID,
    }
    | {FETCH_FROM, SAVE_TO, "kv-from", "kv-backup", "hold", "pin-ms"}
)
RESERVED_FIELD_PREFIX = "kv-"
SINGLE_VALUED = (
    REQUEST_ID,
    AUTHORIZATION,
    DEADLINE,
    LAST_EVENT_ID,
    RESUMES,
    MODEL,
    TOKEN_COUNTS,
    PROMPT_PREFIX,
)


class PlatformProtocol(model.Protocol):
    """HTTP conventions of the platform's callers and endpoints."""

    def decode_request(self, head: http1.Head, body: bytes) -> model.Request:
        """Decode a caller's request.

        Raises:
          http1.FramingError: When a header field that the gateway uses is repeated, or the request
            has no id.
        """
        for name in SINGLE_VALUED:
            if len(head.get_all(name)) > 1:
                raise http1.FramingError(f"header field {name} is repeated", "send it once")
        request_id = head.get(REQUEST_ID)
        if not request_id:
            raise http1.FramingError("the request has no id", f"send {REQUEST_ID}")
        method, target, _ = head.start_line
        return model.Request(
            id=request_id,
            method=method,
            target=target,
            host=head.get("host") or "",
            fields=_forwarded_fields(head),
            body=body,
            key=_api_key(head),
            deadline_seconds=_deadline_seconds(head),
            prompt=_prompt(head),
            last_event_id=_number(head, LAST_EVENT_ID),
            resumes=head.get(RESUMES),
        )

    def encode_request(self, request: model.Request, directives: model.Directives) -> bytes:
        """Encode the head of the request to an endpoint."""
        fields = [("Host", request.host), *request.fields]
        fields.append(("Deadline-Ms", str(max(1, int(directives.remaining_seconds * 1000)))))
        fields.append(("Target-Instance", directives.endpoint.id))
        optional = (
            ("Tenant", directives.team or None),
            ("Last-Event-Id", directives.last_event_id),
            ("Request-Urgency", directives.urgency),
            ("Expect-Version", directives.weights),
            ("Cache-Salt", directives.cache_salt or None),
            ("Kv-Fetch-From", directives.fetch_from or None),
            ("Kv-Save-To", directives.save_to or None),
            ("Kv-Backup", directives.backup_to or None),
            ("Kv-From", _backup_handle(request, directives)),
        )
        fields.extend((name, str(value)) for name, value in optional if value is not None)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            fields.append(("Content-Length", str(len(request.body))))
        start = f"{request.method} {request.target} HTTP/1.1"
        return http1.encode_head(start, fields)

    def decode_response(self, head: http1.Head) -> model.ResponseHead:
        """Decode the head of an endpoint's response."""
        status = int(head.start_line[1])
        is_leaving, pause_seconds = decode_leaving(head.get_all(LEAVING)), _pause_seconds(head)
        notices = ((LEAVING, is_leaving), (RETRY_AFTER, pause_seconds))
        return model.ResponseHead(
            status=status,
            reason=head.start_line[2],
            fields=tuple(
                (name, value)
                for name, value in head.fields
                if name not in http1.CONNECTION_FIELDS and name != NOT_EXECUTED
            ),
            request_id=head.get(REQUEST_ID),
            is_not_executed=head.get(NOT_EXECUTED) is not None or status == MISDIRECTED_REQUEST,
            is_misdirected=status == MISDIRECTED_REQUEST,
            is_sealed=head.get(RESPONSE_SEAL) is not None,
            weights=_number(head, RUNNING_WEIGHTS),
            idle_seconds=_idle_seconds(head),
            is_leaving=bool(is_leaving),
            pause_seconds=pause_seconds or 0.0,
            malformed_fields=tuple(name for name, value in notices if value is None),
        )

    def encode_response(self, head: model.ResponseHead, request: model.Request, extra) -> bytes:
        """Encode the head of the response to the caller."""
        fields = [(name, value) for name, value in head.fields if name != REQUEST_ID]
        start = f"HTTP/1.1 {head.status} {head.reason}".rstrip()
        return http1.encode_head(start, [("Request-Id", request.id), *fields, *extra])

    def encode_refusal(
        self,
        request_id: str | None,
        status: int,
        text: str,
        retry_after: float | None = None,
        is_closing: bool = False,
    ) -> bytes:
        """Encode a complete error response of the gateway."""
        body = text.encode()
        fields = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        if request_id:
            fields.append(("Request-Id", request_id))
        if retry_after is not None:
            fields.append((RETRY_AFTER, f"{retry_after:.2f}"))
        if is_closing:
            fields.append(("Connection", "close"))
        reason = http.HTTPStatus(status).phrase
        return http1.encode_head(f"HTTP/1.1 {status} {reason}", fields) + body


def _backup_handle(request: model.Request, directives: model.Directives) -> str | None:
    """Return the handle of the KV backup from which an endpoint continues a request.

    The handle consists of the address of the endpoint, which holds the backup, and the id of the
    request. It is None when the request is not a continuation.
    """
    if not directives.is_continuation:
        return None
    return f"{directives.endpoint.address}/{request.id}"


def _forwarded_fields(head: http1.Head) -> tuple[tuple[str, str], ...]:
    """Return the header fields to forward: all but reserved and hop-by-hop ones.

    A caller cannot drop the fields that the gateway uses by listing them in `Connection`.
    """
    connection_options = {
        token.strip().lower() for value in head.get_all("connection") for token in value.split(",")
    }
    dropped = (connection_options - {REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PREFIX}) | {"host"}
    return tuple(
        (name, value)
        for name, value in head.fields
        if name not in http1.CONNECTION_FIELDS
        and name not in RESERVED_FIELDS
        and not name.startswith(RESERVED_FIELD_PREFIX)
        and name not in dropped
    )


def _api_key(head: http1.Head) -> str | None:
    value = head.get(AUTHORIZATION)
    return value.removeprefix(BEARER) if value and value.startswith(BEARER) else None


def _deadline_seconds(head: http1.Head) -> float | None:
    value = _number(head, DEADLINE)
    return None if value is None else value / 1000


def _number(head: http1.Head, name: str) -> int | None:
    value = head.get(name)
    return int(value) if value is not None and NUMBER_PATTERN.match(value) else None


def decode_leaving(values: list[str]) -> bool | None:
    """Return whether an endpoint announces that it leaves, None when the field is malformed.

    Args:
      values: Values of the header field; several equal ones are the same as a single one.
    """
    found = {part.strip() for value in values for part in value.split(",")}
    if found <= {"0"}:
        return False
    return True if found == {"1"} else None


def _pause_seconds(head: http1.Head) -> float | None:
    """Return for how long an endpoint wants no request, None when the field is malformed."""
    return http_client.decode_pause(int(head.start_line[1]), head.get_all(RETRY_AFTER.lower()))


def _idle_seconds(head: http1.Head) -> float | None:
    for part in (head.get("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and NUMBER_PATTERN.match(value):
            return float(value)
    return None


def _prompt(head: http1.Head) -> model.Prompt | None:
    """Decode the description of the prompt.

    Malformed fields are forwarded unchanged, but not used for routing.

    Returns:
      The description, or None when the request names no model. When the other fields are
      malformed, the description has no tokens, and of the parts only the ids.
    """
    name = head.get(MODEL)
    if not name:
        return None
    entries = [
        entry.strip().partition(":")
        for entry in (head.get(PROMPT_PREFIX) or "").split(",")
        if entry
    ]
    identities = tuple(identity for identity, _, _ in entries)
    try:
        tokens, _, output = (head.get(TOKEN_COUNTS) or "0").partition(",")
        parts = tuple(
            model.PromptPart(identity, _token_count(length))
            for identity, _, length in entries[:MAX_PROMPT_PARTS]
        )
        return model.Prompt(
            name,
            _token_count(tokens),
            _token_count(output or "0"),
            parts,
            identities[MAX_PROMPT_PARTS:],
        )
    except ValueError:
        return model.Prompt(name, 0, 0, further_part_ids=identities)


def _token_count(text: str) -> int:
    """Decode a number of tokens.

    Raises:
      ValueError: When the text is not a plain decimal number below 10**9.
    """
    if not TOKEN_COUNT_PATTERN.match(text):
        raise ValueError(f"{text[:20]!r} is not a number of tokens")
    return int(text)
