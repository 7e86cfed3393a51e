"""Execution of a request for a plain service."""

import dataclasses
from collections.abc import Callable

from bronzemux import engine_http, errors, forward, http_client, messages, requests

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
HTTP_SERVER_ERROR = 500
FORWARDED_HEADERS = ("Content-Type", "Retry-After")


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """Complete response of a plain service, with the headers that the caller receives."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceExecution(forward.BaseExecution):
    """Execution of one service request from admission to its response.

    Args:
      request: The request.
      dependencies: Components that the execution uses.
      timeouts: Connect and progress timeouts.
      late_seconds: Additional wait for the response after the progress timeout, 0 for none.
      on_late: Called when the progress timeout expires and the additional wait begins.
    """

    def __init__(
        self,
        request: requests.ServiceRequest,
        dependencies,
        timeouts: http_client.Timeouts,
        late_seconds: float = 0.0,
        on_late: Callable[[], None] = lambda: None,
    ):
        super().__init__(request, dependencies)
        self.timeouts = timeouts
        self.late_seconds = late_seconds
        self.on_late = on_late

    def run(self) -> ServiceResponse:
        """Run the request and return its response.

        Raises:
          errors.RequestError: When there is no response; `outcome` states whether the request may
            have run.
        """
        try:
            while True:
                assignment = self.acquire_assignment()
                response = self._attempt(assignment)
                if response is not None:
                    return response
        finally:
            self.dependencies.dispatcher.send(messages.RequestEnded(self.request))

    def _attempt(self, assignment: messages.Assignment) -> ServiceResponse | None:
        """Return the response of one attempt, None when the request is to be retried."""
        self.attempts += 1
        failure: errors.EndpointError | None = errors.EndpointLostError(
            "the attempt was aborted", "none needed"
        )
        try:
            response = self._exchange(assignment)
            failure = None
            return response
        except errors.EndpointError as error:
            failure = error
            self.check_retry(assignment, error)
            return None
        finally:
            self.report_attempt_end(assignment, failure)

    def _exchange(self, assignment: messages.Assignment) -> ServiceResponse:
        endpoint = assignment.endpoint
        connection = http_client.Connection(endpoint.host, endpoint.port, self.timeouts)
        try:
            self.may_have_run = True
            request = self.request
            connection.send(request.method, request.path, self._headers(), request.body)
            response = self._receive(connection)
            body = connection.read_all()
        finally:
            connection.close()
        self._check_request_id(endpoint.name, response)
        self.pause_seconds = engine_http.decode_pause(response.status_code, response)
        if response.get(engine_http.HEADER_OUTCOME) == engine_http.OUTCOME_NOT_RUN:
            self.may_have_run = False
            error = errors.EndpointRefusedError(
                f"{endpoint.name} refused the request", "send it to another endpoint"
            )
            error.pause_seconds = self.pause_seconds
            raise error
        headers = [(name, response.get(name)) for name in FORWARDED_HEADERS if response.get(name)]
        return ServiceResponse(response.status_code, tuple(headers), body)

    def _receive(self, connection: http_client.Connection):
        """Return the response, for which `late_seconds` allows an additional wait.

        A late response is accepted although the caller has already received the outcome `unknown`.
        """
        if self.late_seconds and not connection.wait_readable(self.timeouts.progress):
            self.on_late()
            connection.wait_readable(self.late_seconds)
        return connection.receive(self.request.method)

    def _check_request_id(self, name: str, response) -> None:
        """Reject a response with the id of another request; a missing id is accepted."""
        response_request_id = response.get(engine_http.HEADER_REQUEST)
        if response_request_id and response_request_id != self.request.metadata.id:
            self.dependencies.meters.dropped_answers.inc()
            raise errors.EndpointProtocolError(
                f"the response of {name} belongs to another request", "the response is dropped"
            )

    def _headers(self) -> dict[str, str]:
        metadata = self.request.metadata
        headers = {engine_http.HEADER_REQUEST: metadata.id, "X-Team": metadata.team.name}
        if self.request.content_type:
            headers["Content-Type"] = self.request.content_type
        if metadata.idempotency_key:
            headers[engine_http.HEADER_IDEMPOTENCY] = metadata.idempotency_key
        return headers
