"""Operators' interface of a router, and the client that speaks to it."""

import dataclasses
import json
import urllib.parse

from bronzemux import clock as clocks
from bronzemux import config, config_store, context, errors, http_client, table

PREFIX = "/operator/"
ROLE_OF_METHOD = {"GET": "viewer", "POST": "operator"}
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404
HTTP_BAD_REQUEST = 400


class ConfigRefusedError(errors.RequestError):
    """The document has mistakes."""

    status = 400
    kind = "config_error"


class ConfigRaceError(errors.RequestError):
    """Another operator changed the configuration first."""

    status = 409
    kind = "config_conflict"


class PlatformDownError(errors.RequestError):
    """The platform is out of reach."""

    status = 503
    kind = "platform_unavailable"


def respond(parts: context.Context, store: config_store.ConfigStore, call):
    """Serve one request of an operator.

    Args:
      parts: Parts of the router.
      store: Configuration store.
      call: WSGI side of the request.

    Raises:
      errors.RequestError: When it is refused.
    """
    operator = _authorize(parts, call)
    try:
        return call.respond_json(_operate(store, call, operator))
    except errors.ConfigError as error:
        lines = "; ".join(str(problem) for problem in error.exceptions)
        raise ConfigRefusedError(lines, "correct the document") from error
    except errors.ConfigConflictError as error:
        raise ConfigRaceError(error.message, error.remedy) from error
    except errors.PlatformError as error:
        raise PlatformDownError(error.message, error.remedy, retry_after=2.0) from error


def _authorize(parts: context.Context, call) -> config.Operator:
    snapshot = parts.snapshot()
    value = call.headers.get("authorization", "")
    operator = snapshot.authenticate_operator(value.removeprefix("Bearer ").strip())
    needed = ROLE_OF_METHOD.get(call.method, config.ROLES[-1])
    if config.ROLES.index(operator.role) < config.ROLES.index(needed):
        raise errors.PermissionDeniedError(
            f"role {operator.role!r} may not do this", f"ask an operator with role {needed!r}"
        )
    return operator


def _operate(store: config_store.ConfigStore, call, operator: config.Operator):
    path = call.path.removeprefix(PREFIX)
    if call.method == "POST" and path == "config":
        return dataclasses.asdict(store.apply(_change(call, operator)))
    if call.method == "GET" and path == "config":
        head = store.read()
        return dataclasses.asdict(head) if head else None
    if call.method == "GET" and path == "history":
        limit = int(call.query.get("limit", config_store.MAX_HISTORY))
        return [dataclasses.asdict(head) for head in store.history(limit)]
    if call.method == "GET" and path.startswith("version/"):
        return dataclasses.asdict(store.version(int(path.removeprefix("version/"))))
    raise errors.NotFoundError(f"no operation {path!r}", "see docs/OPERATING.md")


def _change(call, operator: config.Operator) -> config_store.Change:
    try:
        raw = json.loads(call.body())
        change = config_store.Change(
            expected=int(raw["expected"]),
            text=str(raw["text"]),
            operator=operator.name,
            summary=str(raw["summary"]),
            change_id=str(raw["change_id"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.InvalidRequestError(
            f"the change is not usable: {error!r}", "send it with bronzemux-ctl"
        ) from error
    return change


class RouterAccess(config_store.ConfigAccess):
    """Accepted configurations, through a router.

    Args:
      address: IP number and port of the router.
      key: Key of the operator.
    """

    def __init__(self, address: str, key: str):
        self.address = address
        self.key = key

    def read(self) -> config_store.Head | None:
        """Return the head, None before the first configuration."""
        fields = self._exchange("GET", "config")
        return config_store.Head(**fields) if fields else None

    def history(self, limit: int = config_store.MAX_HISTORY) -> list[config_store.Head]:
        """Return accepted configurations, the newest first."""
        return [
            config_store.Head(**fields)
            for fields in self._exchange("GET", f"history?limit={limit}")
        ]

    def version(self, number: int) -> config_store.Head:
        """Return an accepted configuration by its version."""
        return config_store.Head(**self._exchange("GET", f"version/{number}"))

    def apply(self, change: config_store.Change) -> config_store.Head:
        """Accept a change; a repeat of an accepted change returns what it did."""
        body = json.dumps(dataclasses.asdict(change)).encode()
        return config_store.Head(**self._exchange("POST", "config", body))

    def _exchange(self, method: str, path: str, body: bytes = b""):
        answer = get(self.address, PREFIX + path, self.key, method, body)
        content = json.loads(answer.body)
        if answer.status == HTTP_OK:
            return content
        raise _error(answer.status, content["error"]["message"])


def access_to(router: str, key: str, platform: str) -> config_store.ConfigAccess:
    """Return the accepted configurations, through a router or the table service.

    Args:
      router: Address of a router.
      key: Key of the operator.
      platform: IP number and port of the table service; goes before the router when given.

    Raises:
      errors.SettingError: When the address of the table service is not usable.
    """
    if not platform:
        return RouterAccess(router, key)
    host, _, port = platform.rpartition(":")
    if not host or not port.isdigit():
        raise errors.SettingError(f"--platform={platform!r}", "give IP-number:port")
    service = table.HttpTable(http_client.PlatformServiceSettings(host, int(port)))
    return config_store.ConfigStore(service, clocks.SystemClock())


def get(
    address: str, path: str, key: str = "", method: str = "GET", body: bytes = b""
) -> http_client.Response:
    """Send one request to a router and return the whole answer.

    Args:
      address: URL, or IP number and port.
      path: Path with query.
      key: Bearer key, or empty.
      method: HTTP method.
      body: Body.

    Raises:
      errors.EndpointError: When the router does not answer.
    """
    parsed = urllib.parse.urlsplit(address if "//" in address else f"//{address}")
    if not parsed.hostname or not parsed.port:
        raise errors.SettingError(f"--router={address!r}", "give http://IP-number:port")
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


def _error(status: int, message: str) -> errors.BronzemuxError:
    text, _, remedy = message.rpartition("; ")
    kinds = {
        HTTP_CONFLICT: errors.ConfigConflictError,
        HTTP_NOT_FOUND: errors.BronzemuxError,
        HTTP_BAD_REQUEST: errors.SettingError,
    }
    return kinds.get(status, errors.BronzemuxError)(text, remedy)
