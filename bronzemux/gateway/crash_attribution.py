"""Attribution of endpoint crashes to what the requests that were lost there have in common."""

from collections.abc import Callable

import gevent
import gevent.event

from bronzemux import clock as clocks
from bronzemux import logs, quarantine
from bronzemux.gateway import channels, endpoints, meters, reachability

# Pauses before the connections that tell a crash from a broken connection. All connections of a
# crashed process end within the first one; a process may stop listening after the second one.
CHECK_PAUSES_SECONDS = (0.02, 0.4, 1.0)
# Longest time that the retry of a lost request waits for the first check.
MAX_CHECK_WAIT_SECONDS = 0.1


class CrashAttribution:
    """Decides which endpoints crashed, and records the requests that were lost there.

    A process that crashed refuses connections. One that is unreachable for another reason, such as
    a network partition or a loss of power, does not answer, and accuses no request.

    Args:
      clock: Source of time.
      suspects: Suspected fingerprints and verdicts.
      table: Endpoints.
      reachability_probes: Told of endpoints that refuse connections.
      metrics: Metrics of the gateway.
      wake: Wakes the requests that wait for an endpoint.
      refuses: Returns whether an address refuses connections.

    Attributes:
      on_crash: Called with the incarnation and the lost requests of a crash that this gateway met.
      on_cleared: Called with fingerprints that this gateway cleared.
      on_verdict: Called with verdicts that this gateway reached from a crash that it met.
      lost: Lost requests by incarnation, until the endpoint is checked.
      checks: Set when the first check of an endpoint has ended, by incarnation.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        suspects: quarantine.Quarantine,
        table: endpoints.EndpointTable,
        reachability_probes: reachability.Reachability,
        metrics: meters.GatewayMetrics,
        wake: Callable[[], None],
        refuses: Callable[[str], bool] = channels.refuses,
    ):
        self.clock = clock
        self.quarantine = suspects
        self.table = table
        self.reachability = reachability_probes
        self.meters = metrics
        self.wake = wake
        self.refuses = refuses
        self.on_crash: list[Callable[[str, list[quarantine.LostRequest]], None]] = []
        self.on_cleared: list[Callable[[tuple[str, ...]], None]] = []
        self.on_verdict: list[Callable[[quarantine.Verdict], None]] = []
        self.lost: dict[str, list[quarantine.LostRequest]] = {}
        self.checks: dict[str, gevent.event.Event] = {}

    # Crashes

    def record_lost(self, state: endpoints.EndpointState, request: quarantine.LostRequest) -> None:
        """Record a request whose connection the endpoint ended, and check the endpoint."""
        incarnation = state.endpoint.incarnation
        self.lost.setdefault(incarnation, []).append(request)
        if incarnation not in self.checks:
            self.checks[incarnation] = gevent.event.Event()
            gevent.spawn(self._check, state)

    def wait_until_checked(self, incarnation: str) -> None:
        """Wait until the first check of an endpoint has ended, so that its outcome is known."""
        check = self.checks.get(incarnation)
        if check is not None:
            check.wait(MAX_CHECK_WAIT_SECONDS)

    def _check(self, state: endpoints.EndpointState) -> None:
        incarnation = state.endpoint.incarnation
        check = self.checks[incarnation]
        try:
            for pause in CHECK_PAUSES_SECONDS:
                self.clock.sleep(pause)
                if self.refuses(state.endpoint.address):
                    self._confirm(state)
                    return
                check.set()
            self.meters.crashes.labels("unconfirmed").inc()
            logs.event(
                "crash_unconfirmed", endpoint=incarnation, attempts=len(self.lost[incarnation])
            )
        finally:
            check.set()
            self.checks.pop(incarnation, None)
            self.lost.pop(incarnation, None)

    def _confirm(self, state: endpoints.EndpointState) -> None:
        incarnation = state.endpoint.incarnation
        lost, now = self.lost.pop(incarnation), self.clock.monotonic()
        self.reachability.report(state, "connection refused after a lost request")
        self.meters.crashes.labels("confirmed").inc()
        verdicts = self.apply_crash(incarnation, lost, "own")
        logs.event(
            "crash_confirmed",
            "warning",
            endpoint=incarnation,
            lost=len(lost),
            suspicion=max(self.quarantine.suspicion(item.fingerprints, now) for item in lost),
        )
        for verdict in verdicts:
            for listener in self.on_verdict:
                listener(verdict)
        for listener in self.on_crash:
            listener(incarnation, lost)

    def apply_crash(
        self, incarnation: str, lost: list[quarantine.LostRequest], source: str
    ) -> list[quarantine.Verdict]:
        """Record a crash that this gateway or another one met.

        Args:
          incarnation: Incarnation of the endpoint.
          lost: Requests that were lost there.
          source: Who met it, for the log of a verdict.

        Returns:
          New verdicts.
        """
        for state in self.table.states.values():
            if state.endpoint.incarnation == incarnation:
                state.is_entry_doubtful = True
        decided = self.quarantine.record_crash(
            incarnation, incarnation, lost, self.clock.monotonic()
        )
        for verdict in decided:
            self._enforce(verdict, source)
        return decided

    # Outcomes

    def record_begun(self, fingerprints: tuple[str, ...]) -> None:
        """Record that a response began to a request with these fingerprints of prompt parts."""
        cleared = self.quarantine.record_begun(fingerprints, self.clock.monotonic())
        if not cleared:
            return
        logs.event("suspects_cleared", fingerprints=",".join(cleared))
        self.wake()
        for listener in self.on_cleared:
            listener(cleared)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request with this fingerprint of its content was served."""
        self.quarantine.clear((fingerprint,))

    def apply_cleared(self, fingerprints: tuple[str, ...]) -> None:
        """Record fingerprints that another gateway cleared."""
        self.quarantine.record_begun(fingerprints, self.clock.monotonic())

    # Verdicts

    def apply_verdict(self, verdict: quarantine.Verdict, source: str) -> None:
        """Merge a verdict of another gateway or of the store.

        Args:
          verdict: The verdict.
          source: Where it comes from, for the log.
        """
        contradicted = self.quarantine.contradicted(verdict)
        if contradicted:
            for listener in self.on_cleared:
                listener(contradicted)
        if self.quarantine.merge(verdict, self.clock.monotonic()):
            self._enforce(verdict, source)

    def _enforce(self, verdict: quarantine.Verdict, source: str) -> None:
        """Refuse waiting requests and abort attempts to which a new verdict applies."""
        self.meters.verdicts.inc()
        logs.event(
            "request_quarantined",
            "warning",
            fingerprints=",".join(sorted(verdict.members)),
            endpoint=verdict.crash,
            term=verdict.term_seconds,
            source=source,
        )
        self.wake()
        for state in self.table.states.values():
            for attempt in list(state.attempts):
                attempt.abort_if_quarantined()

    def expire(self) -> None:
        """Turn verdicts whose term has ended into suspicions."""
        for verdict in self.quarantine.expire(self.clock.monotonic()):
            logs.event("quarantine_ended", fingerprints=",".join(sorted(verdict.members)))
