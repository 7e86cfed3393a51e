"""Prometheus metrics of a router."""

import prometheus_client

FIRST_TOKEN_BUCKETS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.46,
    0.75,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
TOKEN_GAP_BUCKETS_SECONDS = (0.001, 0.005, 0.01, 0.02, 0.026, 0.05, 0.1, 0.25, 1.0, 5.0)


class Metrics:
    """All metrics of one router, in a separate registry.

    The cardinality of labels is bounded by the numbers of endpoints, workloads, error kinds and
    purposes. No metric has a label for the team.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by workload, outcome and status", "workload", "outcome", "status"
        )
        self.first_token = self._histogram(
            "first_token_seconds", "Time to first token", FIRST_TOKEN_BUCKETS_SECONDS, "workload"
        )
        self.token_gap = self._histogram(
            "token_gap_seconds",
            "Time between parts of a stream",
            TOKEN_GAP_BUCKETS_SECONDS,
            "workload",
        )
        self.decisions = self._counter("decisions", "Requests by chosen endpoint", "endpoint")
        self.refusals = self._counter("refusals", "Requests refused before a start", "kind")
        self.attempt_failures = self._counter("attempt_failures", "Failed attempts", "kind")
        self.retries = self._counter("retries", "Attempts after the first")
        self.retries_refused = self._counter("retries_refused", "Retries without budget")
        self.resumed = self._counter("resumed", "Streams read on over a new connection")
        self.continued = self._counter("continued", "Streams continued at another endpoint")
        self.dropped_answers = self._counter("dropped_answers", "Answers to other requests")
        self.prompt_tokens = self._counter("prompt_tokens", "Prompt tokens of answers")
        self.cached_tokens = self._counter("cached_tokens", "Prompt tokens found in caches")
        self.imported_tokens = self._counter(
            "imported_tokens", "Prompt tokens imported from the KV cache store"
        )
        self.exported_pieces = self._counter(
            "exported_pieces", "Pieces exported to the KV cache store"
        )
        self.event_gaps = self._counter("event_gaps", "Gaps in cache events")
        self.quarantined = self._counter("quarantined", "Requests found to crash endpoints")
        self.claims = self._counter("claims", "Claims by result", "result")
        self.platform_calls = self._counter(
            "platform_calls", "Calls to the platform by purpose and result", "purpose", "result"
        )
        self.waiting = self._gauge("waiting_requests", "Requests in the queue")
        self.in_flight = self._gauge("in_flight_requests", "Requests in this router")
        self.config_version = self._gauge("config_version", "Version of the configuration")
        self.mesh_bytes = self._counter("mesh_bytes", "Bytes between routers", "direction")
        self.members = self._gauge("members", "Routers known by state", "state")

    def _counter(self, name: str, help_text: str, *labels: str):
        return prometheus_client.Counter(
            f"bronzemux_{name}", help_text, labels, registry=self.registry
        )

    def _gauge(self, name: str, help_text: str, *labels: str):
        return prometheus_client.Gauge(
            f"bronzemux_{name}", help_text, labels, registry=self.registry
        )

    def _histogram(self, name: str, help_text: str, buckets, *labels: str):
        return prometheus_client.Histogram(
            f"bronzemux_{name}", help_text, labels, buckets=buckets, registry=self.registry
        )

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
