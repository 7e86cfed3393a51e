"""Endpoints that accept no connections: found by one request, told to all, tried by probes.

Requests are not used to find out whether an endpoint is back: each would lose the time of a
connection that nobody accepts.
"""

from collections.abc import Callable

import gevent

from bronzemux import clock as clocks
from bronzemux import logs
from bronzemux.gateway import channels, endpoints

# Pause after a failed probe; doubles up to the pause in which a caller with the shortest
# objectives still has time for an endpoint that is back.
PROBE_SECONDS = 0.25
MAX_PROBE_SECONDS = 1.0
# An endpoint that takes no connection and sent nothing for two attempts to connect is down; one
# that only has too many connections goes on sending.
DOWN_SECONDS = 2 * channels.CONNECT_SECONDS


class Reachability:
    """Probes suspected endpoints until they accept connections again or are gone.

    Args:
      clock: Source of time.
      connect: Returns whether an address accepts a connection.
      wake: Called when an endpoint may get requests again.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        wake: Callable[[], None],
        connect: Callable[[str], bool] = channels.accepts,
    ):
        self.clock = clock
        self.wake = wake
        self.connect = connect
        self.on_suspect: list[Callable[[endpoints.EndpointState], None]] = []

    def report(self, state: endpoints.EndpointState, cause: str) -> None:
        """Note that a connection of this gateway failed, and tell the others.

        Args:
          state: The endpoint.
          cause: Why it failed, for the log.
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
        """Keep requests away from an endpoint until a probe reaches it."""
        if not state.is_suspected and not state.is_gone:
            state.is_suspected = True
            gevent.spawn(self._probe, state)

    def _probe(self, state: endpoints.EndpointState) -> None:
        # The connection that failed is the first attempt.
        began_at = self.clock.monotonic() - channels.CONNECT_SECONDS
        pause, probes = PROBE_SECONDS, 0
        while not state.is_gone:
            probes += 1
            if self.connect(state.endpoint.address):
                break
            now = self.clock.monotonic()
            if not state.is_down and now - max(began_at, state.heard_at) >= DOWN_SECONDS:
                self._note_down(state)
            self.clock.sleep(pause)
            pause = min(2 * pause, MAX_PROBE_SECONDS)
        state.is_suspected = state.is_down = False
        logs.event(
            "endpoint_probed",
            id=state.endpoint.id,
            probes=probes,
            seconds=self.clock.monotonic() - began_at,
            outcome="gone" if state.is_gone else "accepts connections",
        )
        self.wake()

    def _note_down(self, state: endpoints.EndpointState) -> None:
        """End the attempts that hear nothing from an endpoint that is down."""
        state.is_down = True
        attempts = list(state.attempts)
        logs.event("endpoint_down", "warning", id=state.endpoint.id, attempts=len(attempts))
        for attempt in attempts:
            attempt.end_silent()
