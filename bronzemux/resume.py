"""Reading on of a stream that another router began."""

from collections.abc import Iterator

from bronzemux import (
    completion,
    context,
    engine,
    engine_http,
    errors,
    request_handlers,
    resume_token,
)

LAST_EVENT_HEADER = "last-event-id"
TOKEN_HEADER = "x-resume-token"


def respond(components: context.Context, call, team):
    """Return the rest of a stream for WSGI.

    Args:
      components: Components of the router.
      call: WSGI side of the request.
      team: The caller's team.

    Raises:
      errors.RequestError: When the token or position is refused, or the answer is gone.
    """
    token = _token(components, call, team)
    position = _position(call) - token.base
    endpoint = components.snapshot().endpoints.get(token.endpoint)
    if endpoint is None:
        raise _gone("its endpoint left the configuration")
    try:
        stream = components.engine_of(endpoint).resume(token.request_id, max(0, position))
    except errors.EndpointError as error:
        raise _gone(error.message) from error
    if stream.incarnation != token.incarnation:
        stream.close()
        raise _gone("its endpoint restarted")
    components.meters.resumed.inc()
    headers = [(request_handlers.RESUME_HEADER, call.headers[TOKEN_HEADER])]
    return call.respond_stream(_events(stream, token), headers)


def _token(components: context.Context, call, team) -> resume_token.Token:
    text = call.headers.get(TOKEN_HEADER, "")
    now = components.clock.now().timestamp()
    token = resume_token.verify(text, components.mesh_keys(), now)
    if token.team != team.name:
        raise errors.PermissionDeniedError(
            "the resume token belongs to another team", "send your own team's token"
        )
    return token


def _position(call) -> int:
    value = call.headers.get(LAST_EVENT_HEADER, "")
    if not value:
        return 0
    if not value.isdigit():
        raise errors.InvalidRequestError(
            "Last-Event-ID is not a number", "send the id of the last event that arrived"
        )
    return int(value) + 1


def _events(stream: engine.ResponseStream, token: resume_token.Token) -> Iterator[bytes]:
    try:
        for part in stream:
            if token.wants_usage or not completion.is_only_usage(part.data):
                yield engine_http.encode_event(token.base + part.number, part.data)
    except errors.EndpointError as error:
        yield request_handlers.error_event(_gone(error.message))
    finally:
        stream.close()


def _gone(reason: str) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f"the stream cannot be read on: {reason}",
        "send the request again if it is idempotent",
        outcome=errors.Outcome.UNKNOWN,
    )
