"""A worker begins to answer a stream before it has read a long body, and reads the rest later."""

import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import gevent

from review import harness

# The limits of the operator for a body, in turn: that of the site, and, for a machine whose socket
# buffers hold such a body as a whole, a larger one.
LIMITS = (4_194_304, 16_777_216)
SHORT_REQUESTS = 20
FIELDS = {"Model": harness.MODEL, "Token_Counts": "100,20", "Prompt_Prefix": "aa:50,bb:50"}
# Time from the end of the answer until the worker reads on.
PAUSE_SECONDS = 0.3
# The small windows of the links.
WINDOW_BYTES = 65536


class EarlyWorker(harness.Worker):
    """Answers a long request before it has read its body, keeps the channel and reads on later."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.long_bodies: list[bytes] = []

    def serve_request(self, sock, reader, request):
        """Serve a request."""
        due = int(request.fields.get("content-length", "0"))
        is_long = due > min(LIMITS) // 2
        if not is_long or not harness.IS_TROUBLED:
            is_open = super().serve_request(sock, reader, request)
            if is_long:
                self.long_bodies.append(request.body)
            return is_open
        self.record(f"{self.identity} runs {request.id} and answers; {due} bytes of body are due")
        self.runs.append(request)
        self.stream(sock, request)
        gevent.sleep(PAUSE_SECONDS)
        self.record(f"{self.identity} reads the body of {request.id}")
        try:
            reader.body_into(request)
        except EOFError:
            self.record(f"{self.identity}: the channel ends before the rest of the body")
            raise
        self.long_bodies.append(request.body)
        return True


def wrong_from(body: bytes, sent: bytes) -> int | None:
    """Return the first wrong byte of a long body, None if it is what the client sent."""
    if body == sent:
        return None
    return next(n for n, pair in enumerate(zip(body, sent)) if pair[0] != pair[1])


def case(deployment):
    """Return the violations of the rule."""
    record = deployment.record
    worker = deployment.add_worker(EarlyWorker, "lm-1", "lm", 1)
    deployment.configure()
    deployment.start_gateways(1)

    def ask(request_id: str, body: bytes, key: str) -> None:
        client = harness.Client(deployment.gateways[0])
        client.send(request_id, f"/classify/{request_id}", body, key=key, **FIELDS)
        record(f"client of {key} sends {request_id} with {len(body)} bytes")
        answer = client.receive()
        what = (answer.status, answer.is_whole) if answer is not None else "no answer"
        record(f"client of {key} gets for {request_id}: {what}")
        client.close()

    for number in range(SHORT_REQUESTS):
        ask(f"short-{number}", b"a short request", "clerks")
    for version, limit in enumerate(LIMITS, 2):
        limits = harness.LIMITS | {"max_body_bytes": limit}
        deployment.configure(version, limits=limits)
        gevent.sleep(harness.BOUNDS["config_ms"] / 1000)
        worker.long_bodies.clear()
        sent = bytes(range(256)) * (limit // 256 - 1)
        ask(f"long-{version}", sent, "clerks")
        # Another tenant's request; the first one's channel to the worker may be kept.
        ask(f"other-{version}", b"what the lawyers alone may read; " * 15_000, "lawyers")
        gevent.sleep(1.0)
        for body in worker.long_bodies:
            start = wrong_from(body, sent)
            if start is not None:
                return [
                    f"UNASKED: {worker.identity} gets as the body of 'long-{version}', from byte "
                    f"{start} on: {bytes(body[start:start + 400])!r}"
                ]
    return []


if __name__ == "__main__":
    harness.main(case, pathlib.Path(__file__).parent)
