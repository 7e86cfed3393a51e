"""OpenAI-compatible HTTP interface for callers, as a WSGI application."""

import functools
import json
import urllib.parse
from collections.abc import Callable, Iterator

from bronzemux import (
    context,
    decimal_digits,
    errors,
    http_client,
    http_server,
    locate,
    logs,
    messages,
    operator_api,
    prompt,
    request_handlers,
    requests,
    resume,
)

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Outcome"
MAX_CONTENT_LENGTH = 10**18 - 1
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
            prompt.CHAT_PATH: ("POST", self._serve_model),
            prompt.TEXT_PATH: ("POST", self._serve_model),
            "/v1/models": ("GET", self._models),
            "/v1/locate": ("GET", self._locate),
            "/v1/resume": ("GET", self._resume),
            "/healthz": ("GET", self._health),
            "/readyz": ("GET", self._ready),
            "/metrics": ("GET", self._metrics),
            "/status": ("GET", self._status),
        }

    def __call__(self, environ, start_response):
        """Serve one WSGI request."""
        call = Call(self.components, environ, start_response)
        try:
            return self._route(call)(call)
        except errors.RequestError as error:
            return call.respond_error(error)
        except Exception as error:  # noqa: BLE001 - the caller gets an error response
            logs.failure("request_failed", error, request=call.id)
            return call.respond_error(
                errors.RequestError(
                    "the router failed to process the request",
                    "report the request id to the operators",
                    outcome=errors.Outcome.UNKNOWN,
                )
            )

    def _route(self, call: "Call") -> Callable:
        if call.path.startswith(SERVICES_PREFIX):
            return self._serve_service
        if call.path.startswith(REQUESTS_PREFIX):
            return self._request_state
        if call.path.startswith(operator_api.PREFIX):
            return self._operator
        if call.path not in self.routes:
            raise errors.NotFoundError(
                f"path {call.path!r} does not exist", "see the README for the available paths"
            )
        method, function = self.routes[call.path]
        if call.method != method:
            raise errors.MethodNotAllowedError(
                f"{call.path} requires method {method}", f"send {method}"
            )
        return function

    # Requests to models and services

    def _serve_model(self, call: "Call"):
        authenticated = call.authenticate()
        request = requests.parse_model(authenticated, call.path, call.body())
        return request_handlers.ModelRequestHandler(self.components, request, call).respond()

    def _serve_service(self, call: "Call"):
        authenticated = call.authenticate()
        name, _, path = call.path.removeprefix(SERVICES_PREFIX).partition("/")
        target = "/" + urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
        if call.query_string:
            target += "?" + call.query_string
        request = requests.parse_service(authenticated, name, call.method, target, call.body())
        return request_handlers.ServiceRequestHandler(self.components, request, call).respond()

    def _resume(self, call: "Call"):
        team = call.authenticate().team
        return resume.respond(self.components, call, team)

    # Operators and queries

    def _operator(self, call: "Call"):
        return operator_api.respond(self.components, self.components.config_store, call)

    def _request_state(self, call: "Call"):
        team = call.authenticate().team
        key = urllib.parse.unquote(call.path.removeprefix(REQUESTS_PREFIX))
        claim = self.components.claims.find(team.name, key)
        if claim is None:
            raise errors.NotFoundError("no request has this idempotency key", "check the key")
        outcome = request_handlers.claim_outcome(claim)
        body = {"key": key, "state": claim.state.value, "outcome": outcome.value}
        return call.respond_json(body, outcome=outcome)

    def _models(self, call: "Call"):
        authenticated = call.authenticate()
        names = []
        for model in authenticated.snapshot.config.models:
            if model.name in authenticated.team.models:
                names.append(model.name)
                names.extend(f"{model.name}:{adapter.name}" for adapter in model.adapters)
        data = [{"id": n, "object": "model", "created": 0, "owned_by": "bronzemux"} for n in names]
        return call.respond_json({"object": "list", "data": data})

    def _locate(self, call: "Call"):
        snapshot = self.components.status.snapshot
        drained = frozenset(snapshot.preset.drained_data_centres) if snapshot else frozenset()
        caller = call.query.get("caller", call.environ.get("REMOTE_ADDR", ""))
        data_centre = call.query.get("data_centre", self.components.settings.data_centre)
        limit = None if call.query.get("all") == "true" else locate.MAX_ADDRESSES
        routers = locate.rank_for_caller(self.components.routers(), caller, data_centre, drained)[
            :limit
        ]
        if not routers:
            raise errors.UnavailableError("no router accepts new callers", "try again later", 1.0)
        return call.respond_bytes(200, locate.encode(routers), [JSON_TYPE])

    def _health(self, call: "Call"):
        return call.respond_json({"status": "ok"})

    def _ready(self, call: "Call"):
        if self.components.status.is_draining:
            raise errors.UnavailableError("the router is shutting down", "use another router", 1.0)
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
    """One HTTP request of a caller and the response to it, on top of WSGI.

    Args:
      components: Components of the router.
      environ: WSGI environment.
      start_response: Function of WSGI that starts the response.
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
        """Return the request headers by lower-case name."""
        result = {
            name[5:].replace("_", "-").lower(): value
            for name, value in self.environ.items()
            if name.startswith("HTTP_")
        }
        result["content-type"] = self.environ.get("CONTENT_TYPE", "") or ""
        return result

    @functools.cached_property
    def query(self) -> dict[str, str]:
        """Return the query parameters by name."""
        return dict(urllib.parse.parse_qsl(self.query_string))

    def authenticate(self) -> requests.AuthenticatedRequest:
        """Authenticate the request and return it with its team and configuration.

        Raises:
          errors.AuthenticationFailedError: When the API key is missing or unknown.
          errors.UnavailableError: When the router has no configuration yet.
        """
        snapshot = self.components.snapshot()
        team = snapshot.authenticate(requests.bearer_key(self.headers))
        return requests.AuthenticatedRequest(self.id, team, snapshot, self.headers, self.arrived)

    def body(self) -> bytes:
        """Read and return the body.

        Raises:
          errors.InvalidRequestError: When Content-Length is invalid or the body is incomplete.
          errors.BodyTooLargeError: When the body exceeds the limit.
          errors.BodyTimeoutError: When the body does not arrive in time.
        """
        settings = self.components.settings
        length = self._content_length()
        if length is not None and length > settings.max_body_bytes:
            raise _body_too_large_error(settings.max_body_bytes)
        try:
            with self.environ[http_server.READER_KEY].limit(settings.body_seconds):
                raw = self.environ["wsgi.input"].read(settings.max_body_bytes + 1)
        except TimeoutError:
            raise errors.BodyTimeoutError(
                f"the body did not arrive within {settings.body_seconds:g} s",
                "send the body faster",
            ) from None
        except OSError as error:
            raise errors.InvalidRequestError(
                f"the connection broke while the body was read: {error}", "send the complete body"
            ) from error
        if len(raw) > settings.max_body_bytes:
            raise _body_too_large_error(settings.max_body_bytes)
        if length is not None and len(raw) < length:
            raise errors.InvalidRequestError(
                "the body is shorter than Content-Length", "send the complete body"
            )
        return raw

    def _content_length(self) -> int | None:
        value = self.environ.get("CONTENT_LENGTH")
        if not value:
            return None
        length = decimal_digits.parse(value, MAX_CONTENT_LENGTH)
        if length is None:
            raise errors.InvalidRequestError(
                "Content-Length is not a number", "send the length in bytes"
            )
        return length

    # Responses

    def base_headers(self, outcome: errors.Outcome | None) -> list[tuple[str, str]]:
        """Return the headers of every response.

        Args:
          outcome: Outcome of the request to report, None for a path without one.
        """
        headers = [(REQUEST_ID_HEADER, self.id)]
        if outcome is not None:
            headers.append((OUTCOME_HEADER, outcome.value))
        return headers

    def respond_json(self, body, outcome: errors.Outcome | None = None, headers=()):
        """Respond with a JSON body and status 200."""
        content = json.dumps(body, ensure_ascii=False).encode()
        return self.respond_bytes(200, content, [JSON_TYPE, *headers], outcome)

    def respond_bytes(
        self, status: int, content: bytes, headers, outcome: errors.Outcome | None = None
    ):
        """Respond with a body of bytes."""
        all_headers = [*self.base_headers(outcome), *headers]
        return http_server.respond(self.start_response, status, content, all_headers)

    def respond_stream(self, events: Iterator[bytes], headers) -> Iterator[bytes]:
        """Respond with a stream of server-sent events.

        Args:
          events: Encoded events.
          headers: Further headers.
        """
        all_headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-cache"),
            *self.base_headers(errors.Outcome.RAN),
            *headers,
        ]
        self.start_response(http_server.status_line(200), all_headers)
        return events

    def respond_error(self, error: errors.RequestError):
        """Log the error and respond with it in the format of the OpenAI API."""
        headers = [JSON_TYPE]
        if error.retry_after is not None:
            # Retry-After has whole seconds and is rounded up; Retry-After-Ms is more precise.
            headers.append(("Retry-After", str(max(1, round(error.retry_after + 0.499)))))
            headers.append(("Retry-After-Ms", str(round(error.retry_after * 1000))))
        is_body_unread = isinstance(error, errors.BodyTimeoutError | errors.BodyTooLargeError)
        if is_body_unread or self.components.status.is_draining:
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
    """Return the JSON body of an error in the format of the OpenAI API."""
    fields = {
        "message": str(error),
        "type": error.kind,
        "code": error.kind,
        "param": None,
        "outcome": error.outcome.value,
    }
    return {"error": fields}


def endpoint_timeouts(components: context.Context) -> http_client.Timeouts:
    """Return the timeouts of connections to endpoints."""
    return http_client.Timeouts(
        components.settings.connect_seconds, components.settings.progress_seconds
    )


def _body_too_large_error(limit: int) -> errors.BodyTooLargeError:
    return errors.BodyTooLargeError(f"the body is longer than {limit} bytes", "send a shorter body")
