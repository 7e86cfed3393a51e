"""Tasks that poll the endpoints, the configuration and the VM list."""

import dataclasses
import functools
import random

import gevent

from bronzemux import clock as clocks
from bronzemux import (
    config,
    config_store,
    dispatcher,
    errors,
    http_client,
    logs,
    messages,
    metrics,
    supervisor,
    vms,
)
from bronzemux import snapshot as snapshots

ENDPOINT_POLL_SECONDS = 0.25
ENDPOINT_DOWN_POLL_SECONDS = 0.5
CONFIG_POLL_SECONDS = 1.0
CONFIG_NON_RELAY_POLL_SECONDS = 15.0
VM_LIST_POLL_SECONDS = 1.0
VM_LIST_NON_RELAY_POLL_SECONDS = 15.0
MAX_BACKOFF_SECONDS = 8.0
JITTER_RATIO = 0.3


class EndpointWatcher(supervisor.Task):
    """Polls one endpoint for its load, cache events and liveness.

    Args:
      endpoint: The endpoint.
      engine_of: Called with an endpoint; returns its engine client.
      target: Dispatcher that receives the reports.
      clock: Source of time.
    """

    def __init__(self, endpoint: config.Endpoint, engine_of, target, clock: clocks.Clock):
        super().__init__(f"watch-{endpoint.name}", clock, ENDPOINT_POLL_SECONDS)
        self.endpoint = endpoint
        self.engine_of = engine_of
        self.target: dispatcher.Dispatcher = target
        self.incarnation = ""
        self.last_event = 0
        self.repeats = logs.RepeatFilter(clock)

    def tick(self) -> None:
        """Poll the endpoint once."""
        try:
            if self.endpoint.kind == "model":
                self._poll_engine()
            else:
                self._poll_service()
        except errors.EndpointUnreachableError:
            self.target.send(messages.EndpointDown(self.endpoint.name))
            self.next_tick = self.clock.monotonic() + ENDPOINT_DOWN_POLL_SECONDS
        except errors.EndpointProtocolError as error:
            self.repeats.event(
                "endpoint_report_rejected", "", endpoint=self.endpoint.name, cause=str(error)
            )
        except errors.EndpointError as error:
            logs.event(
                "endpoint_poll_failed", "debug", endpoint=self.endpoint.name, cause=error.message
            )

    def _poll_engine(self) -> None:
        state = self.engine_of(self.endpoint).state(self.last_event)
        events = state.events
        is_new = events.incarnation != self.incarnation
        if is_new and self.incarnation:
            self.incarnation = events.incarnation
            self.last_event = 0
            # Event numbers start again in a new incarnation.
            self._poll_engine()
            return
        has_gap = bool(self.incarnation) and events.first > self.last_event + 1
        self.incarnation = events.incarnation
        self.last_event = events.last
        self.target.send(messages.EndpointReport(self.endpoint.name, state, has_gap))

    def _poll_service(self) -> None:
        endpoint = self.endpoint
        http_client.Connection(endpoint.host, endpoint.port, http_client.Timeouts()).close()
        self.target.send(messages.EndpointAlive(endpoint.name))


@dataclasses.dataclass(frozen=True)
class PollResult:
    """Result of polling the platform for the configuration.

    Attributes:
      head: A newer configuration head, None when there is none.
      error: Why the poll failed, None when it succeeded.
    """

    head: config_store.Head | None
    error: errors.BronzemuxError | None


class ConfigWatcher(supervisor.Task):
    """Applies the newest configuration; its version never decreases.

    Relays poll every `CONFIG_POLL_SECONDS`, other routers every
    `CONFIG_NON_RELAY_POLL_SECONDS`; peers send heads in between.

    Args:
      store: Configuration store.
      clock: Source of time.
      publish: Called with each new snapshot and its head.
      meters: Metrics of the router.
      seed: Seed of the jitter.
    """

    def __init__(self, store, clock: clocks.Clock, publish, meters: metrics.Metrics, seed: str):
        super().__init__("config-watcher", clock, CONFIG_POLL_SECONDS)
        self.store: config_store.ConfigStore = store
        self.publish = publish
        self.meters = meters
        self.random = random.Random(seed)
        self.head: config_store.Head | None = None
        self.rejected_version = 0
        self.poll_period = CONFIG_POLL_SECONDS
        self.is_relay = True
        self.is_polling = False
        self.repeats = logs.RepeatFilter(clock)

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _handle_head(self, message: config_store.Head) -> None:
        """Apply a head that a peer sent."""
        self.apply_if_newer(message)

    @handle.register
    def _handle_poll_result(self, message: PollResult) -> None:
        """Apply the result of a poll and schedule the next one."""
        self.is_polling = False
        period = CONFIG_POLL_SECONDS if self.is_relay else CONFIG_NON_RELAY_POLL_SECONDS
        if message.error is None:
            self.poll_period = period
            if message.head is not None:
                self.apply_if_newer(message.head)
        else:
            self.poll_period = min(MAX_BACKOFF_SECONDS, max(period, self.poll_period * 2))
            logs.event("config_read_failed", "debug", cause=message.error.message)
            if isinstance(message.error, errors.HeadError):
                self.repeats.event("config_row_rejected", "poll", cause=str(message.error))
        result = "ok" if message.error is None else "error"
        self.meters.platform_calls.labels("config", result).inc()
        jitter_factor = 1 + JITTER_RATIO * (2 * self.random.random() - 1)
        self.next_tick = self.clock.monotonic() + self.poll_period * jitter_factor

    def tick(self) -> None:
        """Start a poll in a separate greenlet, so that this task still handles peers' heads."""
        if not self.is_polling:
            self.is_polling = True
            gevent.spawn(self._poll, max(self.version, self.rejected_version))

    def _poll(self, known_version: int) -> None:
        try:
            newest = self.store.newest_version()
            if self.head is not None and newest < self.head.version:
                self.store.rewrite_lost(self.head)
            head = self.store.read_version(newest) if newest > known_version else None
            self.send(PollResult(head, None))
        except (errors.PlatformError, errors.NotFoundError) as error:
            self.send(PollResult(None, error))

    def apply_if_newer(self, head: config_store.Head) -> bool:
        """Apply a head if its version is newer than the one in force and any rejected one.

        Returns:
          Whether it was applied.
        """
        if head.version <= max(self.version, self.rejected_version):
            return False
        try:
            snapshot = snapshots.build(head.version, head.document())
        except errors.ConfigError as error:
            self.rejected_version = head.version
            logs.failure("config_rejected", error, version=head.version)
            return False
        self.head = head
        self.publish(snapshot, head)
        self.meters.config_version.set(head.version)
        logs.event("config_in_force", version=head.version, preset=snapshot.preset.name)
        return True

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.head.version if self.head else 0


class VmWatcher(supervisor.Task):
    """Polls the VM list and publishes its changes.

    Relays poll every `VM_LIST_POLL_SECONDS` and forward changes within their data centre. Other
    routers poll every `VM_LIST_NON_RELAY_POLL_SECONDS`, in case a change did not reach them.

    Args:
      source: VM list.
      clock: Source of time.
      publish: Called after each change with the list and with the changes to forward, None when
        there are none to forward.
      meters: Metrics of the router.
      seed: Seed of the jitter.
    """

    def __init__(self, source: vms.VmList, clock: clocks.Clock, publish, meters, seed: str):
        super().__init__("vm-watcher", clock, VM_LIST_POLL_SECONDS)
        self.source = source
        self.publish = publish
        self.meters: metrics.Metrics = meters
        self.random = random.Random(seed)
        self.vms: tuple[vms.Vm, ...] = ()
        self.is_relay = True

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _handle_changes(self, message: vms.Changes) -> None:
        """Apply changes that a relay forwarded."""
        found = vms.apply(self.vms, message)
        if found != self.vms:
            self.vms = found
            self.publish(found, None)

    def tick(self) -> None:
        """Poll the list once."""
        try:
            found = self.source.list()
            self.meters.platform_calls.labels("vms", "ok").inc()
        except errors.PlatformError as error:
            self.meters.platform_calls.labels("vms", "error").inc()
            logs.event("vm_list_failed", "debug", cause=error.message)
            return
        jitter_factor = 1 + JITTER_RATIO * (2 * self.random.random() - 1)
        period = VM_LIST_POLL_SECONDS if self.is_relay else VM_LIST_NON_RELAY_POLL_SECONDS
        self.next_tick = self.clock.monotonic() + period * jitter_factor
        if found != self.vms:
            changes = vms.diff(self.vms, found) if self.vms and self.is_relay else None
            self.vms = found
            self.publish(found, changes)


def leaving_endpoints(document: config.Config, listed: tuple[vms.Vm, ...]) -> frozenset[str]:
    """Return the names of the endpoints whose VM the platform is about to remove."""
    leaving = {vm.address for vm in listed if vm.is_leaving}
    return frozenset(e.name for e in document.endpoints if e.address in leaving)
