"""Detection of endpoints that accept no connections.

After one failed connection, all routers suspect the endpoint and probe it until it accepts
connections again. Requests do not serve as probes, as each would lose the time of a connection
attempt.
"""

from collections.abc import Callable

import gevent

from bronzemux import clock as clocks
from bronzemux import logs
from bronzemux.gateway import channels, endpoints

# Pause after a failed probe, doubled after each up to a maximum. The maximum still leaves a caller
# with the shortest objectives enough time once the endpoint accepts connections again.
INITIAL_PROBE_PAUSE_SECONDS = 0.25
MAX_PROBE_PAUSE_SECONDS = 1.0
# An endpoint that accepts no connection and sends nothing for two connection timeouts is down; one
# that merely has too many connections continues to send.
DOWN_SECONDS = 2 * channels.CONNECT_SECONDS


class Reachability:
    """Probes suspected endpoints until they accept connections again or are removed.

    Attributes:
      on_suspect: Called with the state of each endpoint that this gateway itself suspects.

    Args:
      clock: Source of time.
      wake: Called when an endpoint may get requests again.
      connect: Returns whether an address accepts a connection, or raises `ConnectionRefusedError`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        wake: Callable[[], None],
        connect: Callable[[str], bool] = channels.probe,
    ):
        self.clock = clock
        self.wake = wake
        self.connect = connect
        self.on_suspect: list[Callable[[endpoints.EndpointState], None]] = []

    def report(self, state: endpoints.EndpointState, cause: str) -> None:
        """Record a failed connection of this gateway, and notify the listeners.

        Args:
          state: The endpoint.
          cause: Reason, for the log.
        """
        state.record_failure(self.clock.monotonic())
        if state.is_suspected:
            return
        logs.event(
            "endpoint_unreachable",
            "warning",
            id=state.endpoint.id,
            address=state.endpoint.address,
            cause=cause,
        )
        self.suspect(state)
        for listener in self.on_suspect:
            listener(state)

    def suspect(self, state: endpoints.EndpointState) -> None:
        """Send an endpoint no requests until it accepts a probe."""
        if not state.is_suspected and not state.is_gone:
            state.is_suspected = True
            gevent.spawn(self._probe, state)

    def _probe(self, state: endpoints.EndpointState) -> None:
        # The outage includes the failed connection, whose attempt began one timeout ago.
        began_at = self.clock.monotonic() - channels.CONNECT_SECONDS
        pause, probes = INITIAL_PROBE_PAUSE_SECONDS, 0
        while not state.is_gone:
            probes += 1
            if self._accepts(state):
                break
            now = self.clock.monotonic()
            if not state.is_down and now - max(began_at, state.last_received_at) >= DOWN_SECONDS:
                self._mark_down(state)
            self.clock.sleep(pause)
            pause = min(2 * pause, MAX_PROBE_PAUSE_SECONDS)
        state.is_suspected = state.is_down = False
        logs.event(
            "endpoint_probed",
            id=state.endpoint.id,
            probes=probes,
            seconds=self.clock.monotonic() - began_at,
            outcome="gone" if state.is_gone else "accepts connections",
        )
        self.wake()

    def _accepts(self, state: endpoints.EndpointState) -> bool:
        try:
            return self.connect(state.endpoint.address)
        except ConnectionRefusedError:
            state.doubt_entry()
            return False

    def _mark_down(self, state: endpoints.EndpointState) -> None:
        """Mark an endpoint as down, and abort its attempts that can continue elsewhere."""
        state.is_down = True
        attempts = list(state.attempts)
        logs.event("endpoint_down", "warning", id=state.endpoint.id, attempts=len(attempts))
        for attempt in attempts:
            attempt.abort_if_recoverable()
