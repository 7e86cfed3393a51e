"""Gateway process with a fault of its own, to show that the soak test detects it.

The environment variable names the fault: "configuration" closes connections without a response for
a moment after a configuration, "hangup" after SIGHUP, and "stop" cuts off requests at SIGTERM.
"older" takes the configuration of a restored store for the newest one, "leaving" does not heed
announcements of endpoints that they leave, "pause" does not heed the pauses they ask for, and
"silence" gives up streams in which an endpoint is silent, "software" takes all endpoints for ones
of the same software version, and "refusal" refuses all streams that callers take up.
"""

if __name__ == "__main__":
    # Patches the standard library and ignores SIGHUP, which a test process must not do.
    from bronzemux import cli_gateway

import dataclasses
import os
import time

from bronzemux.gateway import (
    cluster_state,
    endpoint_notices,
    exchange,
    failures,
    forwarder,
    gateway,
    ingress,
)
from bronzemux.platform import documents

FAULT_VARIABLE = "BRONZEMUX_BROKEN_GATEWAY"
FAULT_SECONDS = 0.4


class Trigger:
    """Start of the fault.

    Attributes:
      at: Monotonic seconds at which the fault began, minus infinity before.
    """

    def __init__(self):
        self.at = float("-inf")

    def wrap(self, function):
        """Return a function that starts the fault and then calls the given one."""

        def wrapper(*arguments, **named):
            self.at = time.monotonic()
            return function(*arguments, **named)

        return wrapper

    def is_active(self) -> bool:
        """Return whether the fault is present now."""
        return time.monotonic() - self.at < FAULT_SECONDS


def main() -> None:
    """Run the gateway with the fault that the environment names."""
    fault, trigger = os.environ[FAULT_VARIABLE], Trigger()
    serve = ingress.Ingress._serve_request

    def serve_or_close(server, *arguments):
        return False if trigger.is_active() else serve(server, *arguments)

    def stop_at_once(member) -> int:
        member.ingress.stop_accepting()
        for channel in list(member.ingress.open_channels):
            channel.close()
        return 0

    def apply_any(state, found, row, source) -> None:
        state.configuration = None
        apply_configuration(state, found, row, source)

    def decode_alike(key: str, data: bytes):
        return dataclasses.replace(decode_endpoint(key, data), software="any")

    def choose_if_new(found, job):
        if job.request.last_event_id is not None:
            raise failures.RefusedError(503, "taken up", "retry later", FAULT_SECONDS)
        return choose(found, job)

    decode_endpoint, choose = documents.decode_endpoint, forwarder.Forwarder._choose
    apply_configuration = cluster_state.ClusterState._apply_configuration
    ingress.Ingress._serve_request = serve_or_close
    if fault == "configuration":
        target = cluster_state.ClusterState
        target._apply_configuration = trigger.wrap(target._apply_configuration)
    elif fault == "hangup":
        cli_gateway.reload_settings = trigger.wrap(cli_gateway.reload_settings)
    elif fault == "older":
        cluster_state.ClusterState._apply_configuration = apply_any
        documents.PlatformDocuments.rank_operator = lambda decoder, key, data: None
    elif fault == "leaving":
        endpoint_notices.record_leaving = lambda state: False
    elif fault == "pause":
        endpoint_notices.NoticeRecorder.record_pause = lambda recorder, state, head: None
    elif fault == "silence":
        exchange.Exchange._remaining_seconds = lambda attempt: 0.8
        exchange.Exchange._should_keep_waiting = lambda attempt: False
    elif fault == "software":
        documents.decode_endpoint = decode_alike
    elif fault == "refusal":
        forwarder.Forwarder._choose = choose_if_new
    else:
        gateway.Gateway.stop = stop_at_once
    cli_gateway.main()


if __name__ == "__main__":
    main()
