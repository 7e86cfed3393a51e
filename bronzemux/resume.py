"""Resumption of a response stream that another router started."""

from collections.abc import Iterator

from bronzemux import (
    completion,
    context,
    continuation,
    decimal_digits,
    engine,
    engine_http,
    errors,
    request_handlers,
    resume_token,
)

LAST_EVENT_HEADER = "last-event-id"
MAX_EVENT_NUMBER = 10**15 - 1
TOKEN_HEADER = "x-resume-token"


def respond(components: context.Context, call, team):
    """Return the rest of a response stream as the body for WSGI.

    Args:
      components: Components of the router.
      call: HTTP request of the caller.
      team: The caller's team.

    Raises:
      errors.RequestError: When the token or the position is invalid, or the response is no longer
        available.
    """
    token = _verify_token(components, call, team)
    offset = _next_event_number(call) - token.part_offset
    endpoint = components.snapshot().endpoints.get(token.endpoint)
    if endpoint is None:
        raise _lost_stream_error("its endpoint is no longer configured")
    try:
        stream = components.engine_of(endpoint).resume(token.request_id, max(0, offset))
    except errors.EndpointError as error:
        raise _lost_stream_error(error.message) from error
    if not continuation.may_resume(token.incarnation, stream.incarnation):
        stream.close()
        raise _lost_stream_error("its endpoint restarted")
    components.meters.resumed.inc()
    headers = [(request_handlers.RESUME_HEADER, call.headers[TOKEN_HEADER])]
    return call.respond_stream(_iter_events(stream, token), headers)


def _verify_token(components: context.Context, call, team) -> resume_token.Token:
    text = call.headers.get(TOKEN_HEADER, "")
    now = components.clock.now().timestamp()
    token = resume_token.verify(text, components.mesh_keys(), now)
    if token.team != team.name:
        raise errors.PermissionDeniedError(
            "the resume token belongs to another team", "send a resume token of your own team"
        )
    return token


def _next_event_number(call) -> int:
    """Return the number of the first event that the caller has not received."""
    value = call.headers.get(LAST_EVENT_HEADER, "")
    if not value:
        return 0
    number = decimal_digits.parse(value, MAX_EVENT_NUMBER)
    if number is None:
        raise errors.InvalidRequestError(
            "Last-Event-ID is not a number", "send the id of the last event that you received"
        )
    return number + 1


def _iter_events(stream: engine.ResponseStream, token: resume_token.Token) -> Iterator[bytes]:
    try:
        for part in stream:
            if token.wants_usage or not completion.is_only_usage(part.data):
                yield engine_http.encode_event(token.part_offset + part.number, part.data)
    except errors.EndpointError as error:
        yield request_handlers.error_event(_lost_stream_error(error.message))
    finally:
        stream.close()


def _lost_stream_error(reason: str) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f"the stream cannot be resumed: {reason}",
        "send the request again if it is idempotent",
        outcome=errors.Outcome.UNKNOWN,
    )
