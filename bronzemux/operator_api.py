"""Operator API of a router: server and client."""

import dataclasses
import json
import urllib.parse

from bronzemux import clock as clocks
from bronzemux import (
    config,
    config_store,
    context,
    decimal_digits,
    errors,
    http_client,
    plain_values,
    table,
)

PREFIX = "/operator/"
REQUIRED_ROLE_BY_METHOD = {"GET": "viewer", "POST": "operator"}
MAX_HISTORY_LIMIT = 10_000
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400


class ConfigRefusedError(errors.RequestError):
    """The configuration document is invalid."""

    status = 400
    kind = "config_error"


class ConfigRaceError(errors.RequestError):
    """Another operator changed the configuration first."""

    status = 409
    kind = "config_conflict"


class PlatformDownError(errors.RequestError):
    """The platform is unreachable."""

    status = 503
    kind = "platform_unavailable"


def respond(components: context.Context, store: config_store.ConfigStore, call):
    """Respond to a request of an operator.

    Args:
      router_context: Components of the router.
      store: Configuration store.
      call: WSGI call of the request.

    Raises:
      errors.RequestError: When the request is rejected or fails.
    """
    operator = _authorize(components, call)
    try:
        return call.respond_json(_dispatch(store, call, operator))
    except errors.ConfigError as error:
        problems = "; ".join(str(problem) for problem in error.exceptions)
        raise ConfigRefusedError(problems, "correct the document") from error
    except errors.ConfigConflictError as error:
        raise ConfigRaceError(error.message, error.remedy) from error
    except errors.PlatformError as error:
        raise PlatformDownError(error.message, error.remedy, retry_after=2.0) from error


def _authorize(components: context.Context, call) -> config.Operator:
    snapshot = components.snapshot()
    authorization = call.headers.get("authorization", "")
    operator = snapshot.authenticate_operator(authorization.removeprefix("Bearer ").strip())
    required_role = REQUIRED_ROLE_BY_METHOD.get(call.method, config.OPERATOR_ROLES[-1])
    if config.OPERATOR_ROLES.index(operator.role) < config.OPERATOR_ROLES.index(required_role):
        raise errors.PermissionDeniedError(
            f"role {operator.role!r} lacks permission for this request",
            f"ask an operator with role {required_role!r}",
        )
    return operator


def _dispatch(store: config_store.ConfigStore, call, operator: config.Operator):
    path = call.path.removeprefix(PREFIX)
    if call.method == "POST" and path == "config":
        return dataclasses.asdict(store.apply(_parse_change(call, operator)))
    if call.method == "GET" and path == "config":
        head = store.read()
        return dataclasses.asdict(head) if head else None
    if call.method == "GET" and path == "history":
        text = call.query.get("limit", str(config_store.MAX_HISTORY))
        limit = _parse_number("limit", text, MAX_HISTORY_LIMIT)
        return [dataclasses.asdict(head) for head in store.history(limit)]
    if call.method == "GET" and path.startswith("version/"):
        text = path.removeprefix("version/")
        number = _parse_number("version", text, config_store.MAX_VERSION)
        return dataclasses.asdict(store.read_version(number))
    raise errors.NotFoundError(f"no operation {path!r}", "see docs/OPERATING.md")


def _parse_number(name: str, text: str, maximum: int) -> int:
    number = decimal_digits.parse(text, maximum)
    if number is None:
        raise errors.InvalidRequestError(
            f"the {name} {text!r:.40} is no number from 0 to {maximum}", "send it in digits"
        )
    return number


def _parse_change(call, operator: config.Operator) -> config_store.Change:
    try:
        fields = plain_values.typed(plain_values.load_json(call.body()), dict)
        change = config_store.Change(
            expected=plain_values.integer(
                fields.get("expected"), maximum=config_store.MAX_VERSION - 1
            ),
            text=plain_values.text(fields.get("text")),
            operator=operator.name,
            summary=plain_values.text(fields.get("summary")),
            change_id=plain_values.text(fields.get("change_id")),
        )
    except plain_values.CHECK_ERRORS as error:
        raise errors.InvalidRequestError(
            f"the change is malformed: {plain_values.cause(error)}", "send it with bronzemux-ctl"
        ) from error
    return change


class RouterAccess(config_store.ConfigAccess):
    """Access to the accepted configurations through a router.

    Args:
      address: URL of the router, or its IP address and port.
      key: API key of the operator.
    """

    def __init__(self, address: str, key: str):
        self.address = address
        self.key = key

    def read(self) -> config_store.Head | None:
        """Return the configuration in force, None before the first one is accepted."""
        fields = self._exchange("GET", "config")
        return config_store.Head(**fields) if fields else None

    def history(self, limit: int = config_store.MAX_HISTORY) -> list[config_store.Head]:
        """Return the accepted configurations, newest first."""
        return [
            config_store.Head(**fields)
            for fields in self._exchange("GET", f"history?limit={limit}")
        ]

    def read_version(self, number: int) -> config_store.Head:
        """Return the accepted configuration with a version number."""
        return config_store.Head(**self._exchange("GET", f"version/{number}"))

    def apply(self, change: config_store.Change) -> config_store.Head:
        """Apply a change; when it was already accepted, return the configuration it created."""
        body = json.dumps(dataclasses.asdict(change)).encode()
        return config_store.Head(**self._exchange("POST", "config", body))

    def _exchange(self, method: str, path: str, body: bytes = b""):
        response = send_request(self.address, PREFIX + path, self.key, method, body)
        content = json.loads(response.body)
        if response.status == HTTP_OK:
            return content
        raise _decode_error(response.status, content["error"]["message"])


def open_config_access(router: str, key: str, platform: str) -> config_store.ConfigAccess:
    """Return access to the accepted configurations, through a router or the table service.

    Args:
      router: URL of a router, or its IP address and port.
      key: API key of the operator.
      platform: IP address and port of the table service; used instead of the router unless empty.

    Raises:
      errors.SettingError: When the address of the table service is invalid.
    """
    if not platform:
        return RouterAccess(router, key)
    host, _, port = platform.rpartition(":")
    number = decimal_digits.parse_port(port)
    if not host or number is None:
        raise errors.SettingError(f"--platform={platform!r} is invalid", "give IP:PORT")
    service = table.HttpTable(http_client.PlatformServiceSettings(host, number))
    return config_store.ConfigStore(service, clocks.SystemClock())


def send_request(
    address: str, path: str, key: str = "", method: str = "GET", body: bytes = b""
) -> http_client.Response:
    """Send one request to a router and return the complete response.

    Args:
      address: URL, or IP address and port.
      path: Path including the query string.
      key: Bearer token; empty to send no `Authorization` header.
      method: HTTP method.
      body: Request body.

    Raises:
      errors.SettingError: When the address is invalid.
      errors.EndpointError: When the router does not respond.
    """
    parsed = urllib.parse.urlsplit(address if "//" in address else f"//{address}")
    if not parsed.hostname or not parsed.port:
        raise errors.SettingError(f"--router={address!r} is invalid", "give http://IP:PORT")
    timeouts = http_client.Timeouts(connect=2.0, progress=15.0)
    connection = http_client.Connection(parsed.hostname, parsed.port, timeouts)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        connection.send(method, path, headers, body)
        response = connection.receive(method)
        return http_client.Response(
            response.status_code, dict(response.items()), connection.read_all()
        )
    finally:
        connection.close()


def _decode_error(status: int, message: str) -> errors.BronzemuxError:
    """Return the error that a response reports; its message has the form ``TEXT; REMEDY``."""
    text, _, remedy = message.rpartition("; ")
    error_types = {
        HTTP_CONFLICT: errors.ConfigConflictError,
        HTTP_NOT_FOUND: errors.BronzemuxError,
        HTTP_BAD_REQUEST: errors.SettingError,
    }
    return error_types.get(status, errors.BronzemuxError)(text, remedy)
