"""Interface for callers: an OpenAI-compatible WSGI application."""

import functools
import json
import urllib.parse
from collections.abc import Callable, Iterator

import gevent

from bronzemux import (
    context,
    errors,
    http_client,
    http_server,
    locate,
    logs,
    messages,
    operator,
    prompt,
    request_handlers,
    requests,
    resume,
)

REQUEST_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Outcome"
SERVICES_PREFIX = "/services/"
REQUESTS_PREFIX = "/v1/requests/"
JSON_TYPE = ("Content-Type", "application/json")


class App:
    """WSGI application of one router.

    Args:
      components: Components of the router.
    """

    def __init__(self, components: context.Context):
        self.components = components
        self.routes: dict[str, tuple[str, Callable]] = {
            prompt.CHAT_PATH: ("POST", self._complete),
            prompt.TEXT_PATH: ("POST", self._complete),
            "/v1/models": ("GET", self._models),
            "/v1/locate": ("GET", self._locate),
            "/v1/resume": ("GET", self._resume),
            "/healthz": ("GET", self._health),
            "/readyz": ("GET", self._ready),
            "/metrics": ("GET", self._metrics),
            "/status": ("GET", self._status),
        }

    def __call__(self, environ, start_response):
        """Serve one request."""
        call = Call(self.components, environ, start_response)
        try:
            return self._route(call)(call)
        except errors.RequestError as error:
            return call.respond_error(error)
        except Exception as error:  # noqa: BLE001 - the caller gets a typed answer
            logs.failure("request_failed", error, request=call.id)
            return call.respond_error(
                errors.RequestError(
                    "the router failed",
                    "tell the operators the request id",
                    outcome=errors.Outcome.UNKNOWN,
                )
            )

    def _route(self, call: "Call") -> Callable:
        if call.path.startswith(SERVICES_PREFIX):
            return self._service
        if call.path.startswith(REQUESTS_PREFIX):
            return self._request
        if call.path.startswith(operator.PREFIX):
            return self._operator
        if call.path not in self.routes:
            raise errors.NotFoundError(f"no path {call.path!r}", "see the README for the interface")
        method, function = self.routes[call.path]
        if call.method != method:
            raise errors.MethodNotAllowedError(f"{call.path} takes {method}", f"send {method}")
        return function

    # Requests that run

    def _complete(self, call: "Call"):
        arrival = call.arrival()
        request = requests.parse_model(arrival, call.path, call.body())
        return request_handlers.ModelRequestHandler(self.components, request, call).respond()

    def _service(self, call: "Call"):
        arrival = call.arrival()
        name, _, path = call.path.removeprefix(SERVICES_PREFIX).partition("/")
        target = "/" + urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
        if call.query_string:
            target += "?" + call.query_string
        request = requests.parse_service(arrival, name, call.method, target, call.body())
        return request_handlers.ServiceRequestHandler(self.components, request, call).respond()

    def _resume(self, call: "Call"):
        team = call.arrival().team
        return resume.respond(self.components, call, team)

    # Questions

    def _operator(self, call: "Call"):
        return operator.respond(self.components, self.components.config_store, call)

    def _request(self, call: "Call"):
        team = call.arrival().team
        key = urllib.parse.unquote(call.path.removeprefix(REQUESTS_PREFIX))
        claim = self.components.claims.find(team.name, key)
        if claim is None:
            raise errors.NotFoundError("no request with this key", "check the key")
        outcome = request_handlers.claim_outcome(claim)
        body = {"key": key, "state": claim.state.value, "outcome": outcome.value}
        return call.respond_json(body, outcome=outcome)

    def _models(self, call: "Call"):
        arrival = call.arrival()
        names = []
        for model in arrival.snapshot.config.models:
            if model.name in arrival.team.models:
                names.append(model.name)
                names.extend(f"{model.name}:{adapter.name}" for adapter in model.adapters)
        data = [{"id": n, "object": "model", "created": 0, "owned_by": "bronzemux"} for n in names]
        return call.respond_json({"object": "list", "data": data})

    def _locate(self, call: "Call"):
        snapshot = self.components.status.snapshot
        avoid = frozenset(snapshot.preset.drained_data_centres) if snapshot else frozenset()
        caller = call.query.get("caller", call.environ.get("REMOTE_ADDR", ""))
        data_centre = call.query.get("data_centre", self.components.settings.data_centre)
        limit = None if call.query.get("all") == "true" else locate.MAX_ADDRESSES
        found = locate.order(self.components.routers(), caller, data_centre, avoid)[:limit]
        if not found:
            raise errors.UnavailableError("no router takes new callers", "ask again", 1.0)
        return call.respond_bytes(200, locate.encode(found), [JSON_TYPE])

    def _health(self, call: "Call"):
        return call.respond_json({"status": "ok"})

    def _ready(self, call: "Call"):
        if self.components.status.is_draining:
            raise errors.UnavailableError("the router is stopping", "ask another router", 1.0)
        self.components.snapshot()
        return call.respond_json({"status": "ready"})

    def _metrics(self, call: "Call"):
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return call.respond_bytes(200, self.components.meters.expose(), headers)

    def _status(self, call: "Call"):
        status = self.components.dispatcher.call(messages.GetStatus(), timeout=1.0)
        body = {
            "router": self.components.settings.name,
            "data_centre": self.components.settings.data_centre,
            "version": status.version,
            "preset": status.preset,
            "waiting": status.waiting,
            "running": status.running,
            "in_flight": self.components.status.in_flight,
            "is_draining": self.components.status.is_draining,
            "index_entries": status.index_entries,
            "condemned": status.quarantined,
            "endpoints": [vars(endpoint) for endpoint in status.endpoints],
            "members": self.components.members(),
        }
        return call.respond_json(body)


class Call:
    """One request and its answer at the WSGI level.

    Args:
      components: Components of the router.
      environ: WSGI environment.
      start_response: WSGI function.
    """

    def __init__(self, components: context.Context, environ, start_response):
        self.components = components
        self.environ = environ
        self.start_response = start_response
        self.id = requests.new_id()
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
        self.query_string = environ.get("QUERY_STRING", "")
        self.arrived = components.clock.monotonic()

    @functools.cached_property
    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name."""
        result = {
            name[5:].replace("_", "-").lower(): value
            for name, value in self.environ.items()
            if name.startswith("HTTP_")
        }
        result["content-type"] = self.environ.get("CONTENT_TYPE", "") or ""
        return result

    @functools.cached_property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.query_string))

    def arrival(self) -> requests.Arrival:
        """Return the authenticated request.

        Raises:
          errors.RequestError: When the key is refused or there is no configuration.
        """
        snapshot = self.components.snapshot()
        team = snapshot.authenticate(requests.bearer_key(self.headers))
        return requests.Arrival(self.id, team, snapshot, self.headers, self.arrived)

    def body(self) -> bytes:
        """Return the body.

        Raises:
          errors.InvalidRequestError: When its length is not usable or the caller left.
          errors.BodyTooLargeError: When it exceeds the limit.
          errors.BodyTimeoutError: When it does not arrive in time.
        """
        settings = self.components.settings
        length = self._content_length()
        if length is not None and length > settings.max_body_bytes:
            raise _too_large(settings.max_body_bytes)
        timeout = gevent.Timeout(settings.body_seconds)
        timeout.start()
        try:
            raw = self.environ["wsgi.input"].read(settings.max_body_bytes + 1)
        except (gevent.Timeout, TimeoutError):
            raise errors.BodyTimeoutError(
                f"the body did not arrive within {settings.body_seconds:g} s", "send it faster"
            ) from None
        except OSError as error:
            raise errors.InvalidRequestError(
                f"the body broke off: {error}", "send it whole"
            ) from error
        finally:
            timeout.close()
        if len(raw) > settings.max_body_bytes:
            raise _too_large(settings.max_body_bytes)
        if length is not None and len(raw) < length:
            raise errors.InvalidRequestError("the body broke off", "send it whole")
        return raw

    def _content_length(self) -> int | None:
        value = self.environ.get("CONTENT_LENGTH")
        if not value:
            return None
        if not value.isdigit():
            raise errors.InvalidRequestError("Content-Length is not a number", "send a valid one")
        return int(value)

    # Answers

    def base_headers(self, outcome: errors.Outcome | None) -> list[tuple[str, str]]:
        """Return the headers that every answer has."""
        headers = [(REQUEST_HEADER, self.id)]
        if outcome is not None:
            headers.append((OUTCOME_HEADER, outcome.value))
        return headers

    def respond_json(self, body, outcome: errors.Outcome | None = None, headers=()):
        """Answer with JSON."""
        content = json.dumps(body, ensure_ascii=False).encode()
        return self.respond_bytes(200, content, [JSON_TYPE, *headers], outcome)

    def respond_bytes(
        self, status: int, content: bytes, headers, outcome: errors.Outcome | None = None
    ):
        """Answer with bytes."""
        lines = [*self.base_headers(outcome), *headers]
        return http_server.respond(self.start_response, status, content, lines)

    def respond_stream(self, events: Iterator[bytes], headers) -> Iterator[bytes]:
        """Answer with a stream of server-sent events."""
        lines = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-cache"),
            *self.base_headers(errors.Outcome.RAN),
            *headers,
        ]
        self.start_response(http_server.status_line(200), lines)
        return events

    def respond_error(self, error: errors.RequestError):
        """Answer with an error in the form of the OpenAI interface."""
        headers = [JSON_TYPE]
        if error.retry_after is not None:
            headers.append(("Retry-After", str(max(1, round(error.retry_after + 0.499)))))
            headers.append(("Retry-After-Ms", str(round(error.retry_after * 1000))))
        if isinstance(error, errors.BodyTimeoutError | errors.BodyTooLargeError):
            headers.append(("Connection", "close"))
        logs.event(
            "request_refused",
            request=self.id,
            path=self.path,
            status=error.status,
            kind=error.kind,
            outcome=error.outcome.value,
            reason=error.message,
        )
        content = json.dumps(error_body(error), ensure_ascii=False).encode()
        return self.respond_bytes(error.status, content, headers, error.outcome)


def error_body(error: errors.RequestError) -> dict:
    """Return the JSON body of an error in the form of the OpenAI interface."""
    fields = {
        "message": str(error),
        "type": error.kind,
        "code": error.kind,
        "param": None,
        "outcome": error.outcome.value,
    }
    return {"error": fields}


def timeouts(components: context.Context) -> http_client.Timeouts:
    """Return the limits of waiting for endpoints."""
    return http_client.Timeouts(
        components.settings.connect_seconds, components.settings.progress_seconds
    )


def _too_large(limit: int) -> errors.BodyTooLargeError:
    return errors.BodyTooLargeError(f"the body is longer than {limit} bytes", "send a shorter one")
