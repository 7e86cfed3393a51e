"""Execution of a request for a plain service."""

import dataclasses
from collections.abc import Callable

from bronzemux import engine_http, errors, forward, http_client, messages, requests

MAX_ANSWER_BYTES = 16 * 1024 * 1024
HTTP_SERVER_ERROR = 500
PASSED_HEADERS = ("Content-Type", "Retry-After")


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """Whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceExecution(forward.BaseExecution):
    """One service request from admission to its answer.

    Args:
      request: The request.
      tools: What executing needs.
      timeouts: Limits of waiting.
      late_seconds: How long an answer is waited for after the progress deadline, 0 for not.
      on_late: Called when the progress deadline passes and the answer is waited for.
    """

    def __init__(
        self,
        request: requests.ServiceRequest,
        tools,
        timeouts: http_client.Timeouts,
        late_seconds: float = 0.0,
        on_late: Callable[[], None] = lambda: None,
    ):
        super().__init__(request, tools)
        self.timeouts = timeouts
        self.late_seconds = late_seconds
        self.on_late = on_late

    def answer(self) -> ServiceResponse:
        """Return the answer.

        Raises:
          errors.RequestError: When there is none; its outcome is true.
        """
        try:
            while True:
                assignment = self.assignment()
                answer = self._attempt(assignment)
                if answer is not None:
                    return answer
        finally:
            self.tools.dispatcher.send(messages.RequestEnded(self.request))

    def _attempt(self, assignment: messages.Assignment) -> ServiceResponse | None:
        self.attempts += 1
        failure: errors.EndpointError | None = errors.EndpointLostError("cut off", "none needed")
        try:
            answer = self._exchange(assignment)
            failure = None
            return answer
        except errors.EndpointError as error:
            failure = error
            self.check_continue(assignment, error)
            return None
        finally:
            self.end(assignment, failure)

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
        self._check_request(endpoint.name, response)
        if response.get(engine_http.HEADER_OUTCOME) == engine_http.OUTCOME_NOT_RUN:
            self.may_have_run = False
            raise errors.EndpointRefusedError(
                f"{endpoint.name} refused the request", "send to another endpoint"
            )
        headers = [(name, response.get(name)) for name in PASSED_HEADERS if response.get(name)]
        return ServiceResponse(response.status_code, tuple(headers), body)

    def _receive(self, connection: http_client.Connection):
        """Return the response; a late one counts, though its caller was told `unknown`."""
        if self.late_seconds and not connection.has_answer(self.timeouts.progress):
            self.on_late()
            connection.has_answer(self.late_seconds)
        return connection.receive(self.request.method)

    def _check_request(self, name: str, response) -> None:
        """Drop an answer that names another request; services that name none are trusted."""
        answered = response.get(engine_http.HEADER_REQUEST)
        if answered and answered != self.request.metadata.id:
            self.tools.meters.dropped_answers.inc()
            raise errors.EndpointProtocolError(
                f"{name} answered another request", "the answer is dropped"
            )

    def _headers(self) -> dict[str, str]:
        metadata = self.request.metadata
        headers = {engine_http.HEADER_REQUEST: metadata.id, "X-Team": metadata.team.name}
        if self.request.content_type:
            headers["Content-Type"] = self.request.content_type
        if metadata.idempotency_key:
            headers[engine_http.HEADER_IDEMPOTENCY] = metadata.idempotency_key
        return headers
