"""Calls to model endpoints and cache stores beside requests."""

import json

from bronzemux import errors, http_client
from bronzemux.gateway import cache_watch, orders
from bronzemux.platform import fields

# Two round trips and one lost packet.
CONNECT_SECONDS = 0.5
# Orders and reports are answered in milliseconds; later ones count as lost.
ANSWER_SECONDS = 1.0
OUTCOMES = {
    200: orders.Outcome.HOLDS,
    202: orders.Outcome.ACCEPTED,
    409: orders.Outcome.BUSY,
    412: orders.Outcome.FENCED,
    421: orders.Outcome.OTHER_ENDPOINT,
    400: orders.Outcome.REJECTED,
}


class EngineCalls(orders.EndpointControl):
    """Orders to model endpoints over HTTP."""

    def order_weights(self, order: orders.WeightsOrder) -> orders.Outcome:
        """Ask an endpoint to load weights once its running requests have ended."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "switch_mode": order.mode.value,
            "holder": order.holder,
            "fencing_token": order.token,
        }
        if order.expected is not None:
            # The number of orders accepted so far, despite its name.
            body["expected"] = order.expected
        headers = {"Content-Type": "application/json", "Target-Instance": order.endpoint.id}
        try:
            answer = _exchange(
                order.endpoint, "POST", "/-/order", headers, json.dumps(body).encode()
            )
        except errors.EndpointUnreachableError:
            return orders.Outcome.UNREACHABLE
        except errors.EndpointError:
            return orders.Outcome.UNKNOWN
        return OUTCOMES.get(answer.status, orders.Outcome.UNKNOWN)

    def report(self, endpoint) -> orders.Report | None:
        """Return what an endpoint says of itself, None when it gives no usable answer."""
        headers = {"Target-Instance": endpoint.id}
        try:
            answer = _exchange(endpoint, "GET", "/-/report", headers, b"")
            document = fields.load(answer.body)
            models = [fields.table(item, "model") for item in fields.items(document, "models")]
            return orders.Report(
                weights={fields.text(m, "name"): fields.integer(m, "version") for m in models},
                is_busy=fields.flag(document, "busy"),
                order_count=fields.integer(document, "sequence"),
                running=fields.integer(document, "running"),
                born_ms=fields.integer(document, "born", 0),
            )
        except (errors.EndpointError, fields.DocumentError):
            return None


class CacheStoreCalls(cache_watch.CacheCalls):
    """Calls of the store of KV cache over HTTP."""

    def await_changes(self, address: str, since: int, seconds: float):
        """Return the state after a change or a wait, None without an answer."""
        headers = {"Wait-Ms": str(int(seconds * 1000))}
        path = f"/-/kv-events?since={since}"
        try:
            answer = _call(address, "GET", path, headers, b"", seconds + ANSWER_SECONDS)
            document = fields.load(answer.body)
            epoch = fields.integer(document, "boot_epoch")
            return cache_watch.CacheState(epoch, fields.integer(document, "next"))
        except (errors.EndpointError, fields.DocumentError):
            return None


def _exchange(endpoint, method: str, path: str, headers, body: bytes) -> http_client.Response:
    return _call(endpoint.address, method, path, headers, body, ANSWER_SECONDS)


def _call(address: str, method: str, path: str, headers, body: bytes, progress: float):
    host, port = fields.split_address(address)
    timeouts = http_client.Timeouts(connect=CONNECT_SECONDS, progress=progress)
    connection = http_client.Connection(host, port, timeouts)
    try:
        connection.send(method, path, {**headers, "Connection": "close"}, body)
        response = connection.receive(method)
        return http_client.Response(response.status_code, {}, connection.read_all())
    finally:
        connection.close()
