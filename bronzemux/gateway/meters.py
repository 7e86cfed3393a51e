"""Prometheus metrics of a gateway."""

import prometheus_client

from bronzemux import metrics

# Upper bounds of the histogram buckets. They cover latency objectives of 0.15 to 0.6 s and
# deadlines of 1 to 15 s.
BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.6, 1.0, 2.0, 4.0, 6.0, 15.0)


class GatewayMetrics:
    """All metrics of one gateway.

    The cardinality of the labels is bounded: they name services, outcomes, statuses and causes.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter("requests", "Requests by end", "service", "end")
        self.attempt_failures = self._counter(
            "attempt_failures", "Failed attempts", "service", "cause"
        )
        self.retries = self._counter("retries", "Arrivals after the first", "service")
        self.refusals = self._counter("refusals", "Refusals by status", "status")
        self.shortage_refusals = self._counter(
            "shortage_refusals", "Requests refused as no endpoint has room", "service", "reason"
        )
        self.late_starts = self._counter(
            "late_starts", "Streams that waited for room and began late", "service"
        )
        self.caller_refusals = self._counter(
            "caller_refusals", "Incomplete requests refused, by reason", "reason"
        )
        self.caller_connections_closed = self._counter(
            "caller_connections_closed", "Connections closed for lack of room, by state", "state"
        )
        self.caller_bytes = self._gauge(
            "caller_request_bytes", "Bytes held for the requests of callers"
        )
        self.notices = self._counter(
            "endpoint_notices", "Announcements and pauses that endpoints asked for", "kind"
        )
        self.crashes = self._counter(
            "endpoint_crashes", "Endpoints whose attempts were lost", "outcome"
        )
        self.verdicts = self._counter("quarantine_verdicts", "Verdicts that came into force")
        self.resumptions = self._counter(
            "stream_resumptions", "Streams that callers resumed, by outcome", "outcome"
        )
        self.stored_origins = self._counter(
            "stream_origins_stored", "Origins of streams written to the store"
        )
        self.usage = self._counter(
            "usage_units", "Units of capped teams: charged, refused, unowned, returned", "outcome"
        )
        self.usage_waits = self._counter(
            "usage_waits", "Requests that waited for the owner of a cap, by end", "end"
        )
        self.usage_debt = self._gauge("usage_debt_units", "Units that owned caps are overdrawn by")
        self.first_event = self._histogram("first_answer_seconds", "Time to first answer byte")
        self.total = self._histogram("request_seconds", "Time to the end of the answer")
        self.waited = self._histogram("queue_seconds", "Time until an endpoint was chosen")
        self.pause = self._histogram("stream_pause_seconds", "Longest pause of a stream")
        self.mesh_bytes = self._counter("mesh_bytes", "Bytes between routers", "direction")
        self.orders = self._counter("orders", "Orders to endpoints", "outcome")
        self.connections = self._gauge("endpoint_connections_opened", "Connections opened so far")
        self.config_version = self._gauge("config_version", "Version of the configuration")
        self.config_age = self._gauge("platform_age_seconds", "Time since news from the platform")
        self.routers = self._gauge("routers", "Routers heard of, this one included")
        self.in_flight = self._gauge("in_flight_requests", "Requests in this router")
        self.log_dropped = self._gauge("log_lines_dropped", "Log lines that found no room")

    def _counter(self, name: str, text: str, *labels: str):
        return prometheus_client.Counter(f"bronzemux_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str):
        return prometheus_client.Gauge(f"bronzemux_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str):
        return prometheus_client.Histogram(
            f"bronzemux_{name}", text, ("service",), buckets=BUCKETS_SECONDS, registry=self.registry
        )

    expose = metrics.Metrics.expose
