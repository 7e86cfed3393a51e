"""Steps for the framing of HTTP/1.1."""

import socket
import struct

import gevent
from behave import given, then, when

from bronzemux.gateway import http1

BODY_LIMIT = 1_000_000
SECONDS = 5.0


def unescape(text: str) -> bytes:
    """Return the bytes that a text with escapes stands for."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection, so that it can be reset."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
    near.settimeout(SECONDS)
    far.settimeout(SECONDS)
    return near, far


def end(sock: socket.socket, how: str) -> None:
    """Close or reset a connection, or leave it open."""
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how != "stays":
        sock.close()


@when('the bytes "{text}" come from a caller')
def step_send(context, text):
    near, far = connected_pair()
    context.cleanups += [near.close, far.close]
    far.sendall(unescape(text))
    far.shutdown(socket.SHUT_WR)
    context.channel = http1.Channel(near)
    context.error, context.body = None, None
    try:
        head = context.channel.read_head()
        framing = http1.request_framing(head)
        context.body = context.channel.read_body(framing, BODY_LIMIT)
    except (http1.FramingError, http1.EndOfStreamError) as error:
        context.error = error


@then('the head or the body is rejected as "{name}"')
def step_rejected(context, name):
    assert type(context.error).__name__ == name, context.error
    assert str(context.error)


@then('the body is "{body}" and "{rest}" is left')
def step_left(context, body, rest):
    assert context.error is None, context.error
    assert context.body == body.encode()
    assert bytes(context.channel.buffer) == rest.encode()


@when('an endpoint answers "{text}" and then {how}')
def step_answer(context, text, how):
    near, far = connected_pair()
    context.cleanups += [near.close, far.close]
    far.sendall(unescape(text))
    if how == "resets":
        # The reader takes the bytes before the reset arrives.
        near.recv(1, socket.MSG_PEEK)
    channel = http1.Channel(near)
    try:
        if how == "resets":
            head = channel.read_head()
            end(far, how)
            gevent.sleep(0.05)
        else:
            end(far, how)
            head = channel.read_head()
        framing = http1.response_framing(head, "GET")
        context.result = channel.read_body(framing, BODY_LIMIT).decode()
    except (http1.FramingError, http1.EndOfStreamError) as error:
        context.result = type(error).__name__


@then('reading the answer gives "{result}"')
def step_result(context, result):
    assert context.result == result, context.result


@given("an endpoint that answers before it reads the body")
def step_early(context):
    near, far = connected_pair()
    context.cleanups += [near.close, far.close]
    far.sendall(b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
    context.channel = http1.Channel(near)


@when("a body of 8 MB is sent to it")
def step_long_body(context):
    context.is_sent = context.channel.send_until_response(bytes(8_000_000), SECONDS)


@then("sending stops at the answer")
def step_stops(context):
    assert context.is_sent is False
    assert context.channel.read_head().start_line[1] == "413"
