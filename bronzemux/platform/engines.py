"""HTTP clients for the management calls of model endpoints and cache stores."""

import json

from bronzemux import errors, http_client
from bronzemux.gateway import cache_store_watcher, orders
from bronzemux.platform import fields, headers

# Enough for two round trips and the retransmission of one lost packet.
CONNECT_TIMEOUT_SECONDS = 0.5
# Endpoints normally respond to orders and report calls within milliseconds. A response that takes
# longer than this counts as lost.
RESPONSE_TIMEOUT_SECONDS = 1.0
# Far more than the events that a cache store keeps.
MAX_EVENTS_BYTES = 2 * 1024 * 1024
OUTCOME_BY_STATUS = {
    200: orders.Outcome.HOLDS,
    202: orders.Outcome.ACCEPTED,
    409: orders.Outcome.BUSY,
    412: orders.Outcome.FENCED,
    421: orders.Outcome.OTHER_ENDPOINT,
    400: orders.Outcome.REJECTED,
}


class EngineClient(orders.EndpointControl):
    """HTTP client for orders to model endpoints and for their reports."""

    def order_weights(self, order: orders.WeightsOrder) -> orders.Outcome:
        """Order an endpoint to load weights once its running requests have ended."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "switch_mode": order.mode.value,
            "holder": order.holder,
            "fencing_token": order.token,
        }
        if order.expected is not None:
            # Despite its name, the field holds the number of orders accepted so far.
            body["expected"] = order.expected
        sent = {"Content-Type": "application/json", "Target-Instance": order.endpoint.id}
        try:
            response = _exchange(
                order.endpoint, "POST", "/-/order", sent, json.dumps(body).encode()
            )
        except errors.EndpointUnreachableError:
            return orders.Outcome.UNREACHABLE
        except errors.EndpointError:
            return orders.Outcome.UNKNOWN
        return OUTCOME_BY_STATUS.get(response.status, orders.Outcome.UNKNOWN)

    def report(self, endpoint) -> orders.Report | None:
        """Return the report of an endpoint, None when the response is missing or invalid."""
        sent = {"Target-Instance": endpoint.id}
        try:
            response = _exchange(endpoint, "GET", "/-/report", sent, b"")
            document = fields.load(response.body)
            models = [fields.table(item, "model") for item in fields.items(document, "models")]
            return orders.Report(
                weights={fields.text(m, "name"): fields.integer(m, "version") for m in models},
                is_busy=fields.flag(document, "busy"),
                order_count=fields.integer(document, "sequence"),
                running=fields.integer(document, "running"),
                started_at_ms=fields.integer(document, "born", 0),
                is_leaving=bool(headers.decode_leaving(_leaving_values(response))),
            )
        except (errors.EndpointError, fields.DocumentError):
            return None


class HttpCacheStoreClient(cache_store_watcher.CacheStoreClient):
    """HTTP client of cache stores."""

    def await_changes(self, address: str, since: int, seconds: float):
        """Return the store's state after a change or the wait, None when it does not respond."""
        sent = {"Wait-Ms": str(int(seconds * 1000))}
        path = f"/-/kv-events?since={since}"
        try:
            timeout = seconds + RESPONSE_TIMEOUT_SECONDS
            response = _call(address, "GET", path, sent, b"", timeout, MAX_EVENTS_BYTES)
            document = fields.load(response.body)
            epoch = fields.integer(document, "boot_epoch")
            return cache_store_watcher.CacheStoreState(epoch, fields.integer(document, "next"))
        except (errors.EndpointError, fields.DocumentError):
            return None


def _exchange(endpoint, method: str, path: str, sent, body: bytes) -> http_client.Response:
    return _call(endpoint.address, method, path, sent, body, RESPONSE_TIMEOUT_SECONDS)


def _leaving_values(response: http_client.Response) -> list[str]:
    return [value for name, value in response.headers.items() if name.lower() == headers.LEAVING]


def _call(
    address: str,
    method: str,
    path: str,
    sent,
    body: bytes,
    progress_seconds: float,
    max_bytes: int = http_client.MAX_CONTROL_BYTES,
) -> http_client.Response:
    host, port = fields.split_address(address)
    timeouts = http_client.Timeouts(connect=CONNECT_TIMEOUT_SECONDS, progress=progress_seconds)
    connection = http_client.Connection(host, port, timeouts)
    try:
        fields_sent = {**sent, "Connection": "close"}
        return connection.exchange(method, path, fields_sent, body, max_bytes)
    finally:
        connection.close()
