"""Steps for the framing of HTTP/1.1."""

import contextlib
import fcntl
import socket
import struct

import gevent
import gevent.monkey
from behave import given, then, when

from bronzemux import http_client
from bronzemux.gateway import http1

BODY_LIMIT = 1_000_000
TIMEOUT_SECONDS = 5.0


def unescape(text: str) -> bytes:
    """Return the bytes that a text with backslash escapes represents."""
    return text.encode().decode("unicode_escape").encode("latin-1")


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection, which, unlike a socket pair, can be reset."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        local = socket.create_connection(server.getsockname())
        remote, _ = server.accept()
    local.settimeout(TIMEOUT_SECONDS)
    remote.settimeout(TIMEOUT_SECONDS)
    return local, remote


def send_during_pause(sock: socket.socket, data: bytes, seconds: float) -> None:
    """Send bytes during a pause of this process, after the event loop has last polled the socket.

    The timer of the sender expires in the same iteration as the timeouts of readers and runs first.

    Args:
      sock: Connected socket.
      data: The bytes.
      seconds: Length of the pause, longer than the timeouts.
    """
    sender = gevent.spawn_later(0.01, sock.sendall, data)
    gevent.monkey.get_original("time", "sleep")(seconds)
    sender.get(timeout=TIMEOUT_SECONDS)


def end_connection(sock: socket.socket, how: str) -> None:
    """Close or reset a connection, or leave it open."""
    if how == "resets":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how != "stays":
        sock.close()


@when('a caller sends the bytes "{text}"')
def step_caller_sends(context, text):
    local, remote = connected_pair()
    context.cleanups += [local.close, remote.close]
    remote.sendall(unescape(text))
    remote.shutdown(socket.SHUT_WR)
    context.channel = http1.Channel(local)
    context.error, context.body = None, None
    try:
        head = context.channel.read_head()
        framing = http1.request_framing(head)
        context.body = context.channel.read_body(framing, BODY_LIMIT)
    except (http1.FramingError, http1.EndOfStreamError) as error:
        context.error = error


@then('reading the request fails with "{name}"')
def step_request_fails(context, name):
    assert type(context.error).__name__ == name, context.error
    assert str(context.error)


@then('the body is "{body}" and "{rest}" stays unread')
def step_stays_unread(context, body, rest):
    assert context.error is None, context.error
    assert context.body == body.encode()
    assert bytes(context.channel.buffer) == rest.encode()


@when('an endpoint responds "{text}" and then {how}')
def step_endpoint_responds(context, text, how):
    local, remote = connected_pair()
    context.cleanups += [local.close, remote.close]
    remote.sendall(unescape(text))
    if how == "resets":
        # Waits until the bytes have arrived, so that they are read before the reset.
        local.recv(1, socket.MSG_PEEK)
    channel = http1.Channel(local)
    try:
        if how == "resets":
            head = channel.read_head()
            end_connection(remote, how)
            gevent.sleep(0.05)
        else:
            end_connection(remote, how)
            head = channel.read_head()
        framing = http1.response_framing(head, "GET")
        context.result = channel.read_body(framing, BODY_LIMIT).decode()
    except (http1.FramingError, http1.EndOfStreamError) as error:
        context.result = type(error).__name__


@then('reading the response gives "{result}"')
def step_response_result(context, result):
    assert context.result == result, context.result


@given("an endpoint that responds before it reads the body")
def step_early_response(context):
    local, remote = connected_pair()
    context.cleanups += [local.close, remote.close]
    remote.sendall(b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
    context.channel = http1.Channel(local)


@given("an endpoint that {reads}, on a connection with a file descriptor above 1024")
def step_high_descriptor(context, reads):
    low, remote = connected_pair()
    local = socket.socket(fileno=fcntl.fcntl(low.fileno(), fcntl.F_DUPFD, 1025))
    low.close()
    context.cleanups += [local.close, remote.close]
    response = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n"
    context.timeout, context.pause = TIMEOUT_SECONDS, lambda: None
    if reads == "reads the body late":
        gevent.spawn_later(0.1, read_all, remote)
    elif reads == "responds before it reads the body":
        gevent.spawn_later(0.1, remote.sendall, response)
    else:
        context.timeout = 0.2
    if reads == "responds during a pause of the process":
        context.pause = lambda: send_during_pause(remote, response, 0.4)
    if reads == "reads on during a pause of the process":
        context.pause = lambda: read_during_pause(remote, 0.4)
    context.channel = http1.Channel(local)


def read_all(sock: socket.socket) -> None:
    """Read from a socket until its end, or until the scenario closes it."""
    with contextlib.suppress(OSError):
        while sock.recv(http1.READ_BYTES):
            continue


def send_body(channel: http1.Channel, timeout: float) -> tuple[bool | None, TimeoutError | None]:
    """Send a body of 8 MB; return whether it was sent whole, or the error when it timed out."""
    try:
        return channel.send_until_response(bytes(8_000_000), timeout), None
    except TimeoutError as error:
        return None, error


def read_during_pause(sock: socket.socket, seconds: float) -> None:
    """Start to read during a pause of this process, after the event loop has last polled.

    Args:
      sock: Connected socket.
      seconds: Length of the pause, longer than the timeouts.
    """
    reader = gevent.spawn_later(0.01, read_all, sock)
    gevent.monkey.get_original("time", "sleep")(seconds)
    gevent.sleep(0)
    assert reader.started


@when("a body of 8 MB is sent to it")
def step_send_long_body(context):
    timeout = getattr(context, "timeout", TIMEOUT_SECONDS)
    sender = gevent.spawn(send_body, context.channel, timeout)
    gevent.sleep(0.05)
    getattr(context, "pause", lambda: None)()
    context.is_whole_body_sent, context.error = sender.get(timeout=TIMEOUT_SECONDS)


@then("sending ends when the body is sent")
def step_body_sent(context):
    assert context.is_whole_body_sent is True


@then("sending times out")
def step_sending_times_out(context):
    assert isinstance(context.error, TimeoutError)


@then("sending stops when the response arrives")
def step_sending_stops(context):
    assert context.is_whole_body_sent is False
    assert context.channel.read_head().start_line[1] == "413"


@when("bytes arrive during a pause that is longer than the reader's timeout")
def step_pause(context):
    local, remote = connected_pair()
    context.cleanups += [local.close, remote.close]
    local.settimeout(0.2)
    context.channel = http1.Channel(local)
    context.reader = gevent.spawn(context.channel.fill)
    gevent.sleep(0.05)
    send_during_pause(remote, b"answer", 0.5)


@then("the reader gets them")
def step_reader_gets(context):
    assert context.reader.get(timeout=TIMEOUT_SECONDS) is True
    assert bytes(context.channel.buffer) == b"answer"


@then("the reader times out when no more arrive")
def step_reader_times_out(context):
    try:
        context.channel.fill()
    except TimeoutError:
        return
    raise AssertionError("the reader did not time out")


@when("a connection {state} is looked at")
def step_look(context, state):
    local, remote = connected_pair()
    context.cleanups += [local.close, remote.close]
    if state == "with unread bytes":
        remote.sendall(b"next")
    elif state == "that was closed":
        remote.close()
    context.sock = local
    assert http_client.is_open_and_idle(local) is (state == "that is idle")


@then("its timeout is as before")
def step_timeout_kept(context):
    assert context.sock.gettimeout() == TIMEOUT_SECONDS
