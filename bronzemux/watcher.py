"""Tasks that watch endpoints, the configuration head and the VM list."""

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

ENDPOINT_SECONDS = 0.25
ENDPOINT_DOWN_SECONDS = 0.5
CONFIG_SECONDS = 1.0
CONFIG_SLOW_SECONDS = 15.0
VM_LIST_SECONDS = 1.0
VM_LIST_SLOW_SECONDS = 15.0
BACKOFF_LIMIT_SECONDS = 8.0
JITTER = 0.3


class EndpointWatcher(supervisor.Task):
    """Polls one endpoint for load, cache events and life.

    Args:
      endpoint: The endpoint.
      engine_of: Returns the engine at an endpoint.
      target: Dispatcher that gets the reports.
      clock: Source of time.
    """

    def __init__(self, endpoint: config.Endpoint, engine_of, target, clock: clocks.Clock):
        super().__init__(f"watch-{endpoint.name}", clock, ENDPOINT_SECONDS)
        self.endpoint = endpoint
        self.engine_of = engine_of
        self.target: dispatcher.Dispatcher = target
        self.incarnation = ""
        self.last = 0

    def tick(self) -> None:
        """Poll the endpoint once."""
        try:
            if self.endpoint.kind == "model":
                self._poll_engine()
            else:
                self._poll_service()
        except errors.EndpointUnreachableError:
            self.target.send(messages.EndpointDown(self.endpoint.name))
            self.next_tick = self.clock.monotonic() + ENDPOINT_DOWN_SECONDS
        except errors.EndpointError as error:
            logs.event(
                "endpoint_poll_failed", "debug", endpoint=self.endpoint.name, cause=error.message
            )

    def _poll_engine(self) -> None:
        state = self.engine_of(self.endpoint).state(self.last)
        events = state.events
        is_new = events.incarnation != self.incarnation
        if is_new and self.incarnation:
            self.incarnation = events.incarnation
            self.last = 0
            self._poll_engine()
            return
        has_gap = bool(self.incarnation) and events.first > self.last + 1
        self.incarnation = events.incarnation
        self.last = events.last
        self.target.send(messages.EndpointReport(self.endpoint.name, state, has_gap))

    def _poll_service(self) -> None:
        endpoint = self.endpoint
        http_client.Connection(endpoint.host, endpoint.port, http_client.Timeouts()).close()
        self.target.send(messages.EndpointAlive(endpoint.name))


@dataclasses.dataclass(frozen=True)
class Polled:
    """Result of reading the configuration from the platform.

    Attributes:
      head: A newer head, None when there is none.
      error: Why it could not be read, or None.
    """

    head: config_store.Head | None
    error: errors.BronzemuxError | None


class ConfigWatcher(supervisor.Task):
    """Keeps the newest configuration; versions only rise.

    Args:
      store: Configuration store.
      clock: Source of time.
      publish: Called with each new snapshot and its head.
      meters: Metrics of the router.
      seed: Seed of the jitter.
    """

    def __init__(self, store, clock: clocks.Clock, publish, meters: metrics.Metrics, seed: str):
        super().__init__("config-watcher", clock, CONFIG_SECONDS)
        self.store: config_store.ConfigStore = store
        self.publish = publish
        self.meters = meters
        self.random = random.Random(seed)
        self.head: config_store.Head | None = None
        self.rejected = 0
        self.backoff = CONFIG_SECONDS
        self.is_relay = True
        self.is_polling = False

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _head(self, message: config_store.Head) -> None:
        """Take a head that a peer sent."""
        self.offer(message)

    @handle.register
    def _polled(self, message: Polled) -> None:
        """Take the result of a reading and plan the next one."""
        self.is_polling = False
        period = CONFIG_SECONDS if self.is_relay else CONFIG_SLOW_SECONDS
        if message.error is None:
            self.backoff = period
            if message.head is not None:
                self.offer(message.head)
        else:
            self.backoff = min(BACKOFF_LIMIT_SECONDS, max(period, self.backoff * 2))
            logs.event("config_read_failed", "debug", cause=message.error.message)
        result = "ok" if message.error is None else "error"
        self.meters.platform_calls.labels("config", result).inc()
        spread = 1 + JITTER * (2 * self.random.random() - 1)
        self.next_tick = self.clock.monotonic() + self.backoff * spread

    def tick(self) -> None:
        """Read the head from the platform, beside this task, which goes on taking peers' heads."""
        if not self.is_polling:
            self.is_polling = True
            gevent.spawn(self._poll, max(self.version, self.rejected))

    def _poll(self, known: int) -> None:
        try:
            newest = self.store.newest_version()
            head = self.store.version(newest) if newest > known else None
            self.send(Polled(head, None))
        except (errors.PlatformError, errors.NotFoundError) as error:
            self.send(Polled(None, error))

    def offer(self, head: config_store.Head) -> bool:
        """Put a head in force when it is newer.

        Returns:
          Whether it is in force now and was not before.
        """
        if head.version <= max(self.version, self.rejected):
            return False
        try:
            snapshot = snapshots.build(head.version, head.document())
        except errors.ConfigError as error:
            self.rejected = head.version
            logs.failure("config_rejected", error, version=head.version)
            return False
        self.head = head
        self.publish(snapshot, head)
        self.meters.config_version.set(head.version)
        logs.event("config_in_force", version=head.version, preset=snapshot.preset.name)
        return True

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.head.version if self.head else 0


class VmWatcher(supervisor.Task):
    """Reads the VM list and passes on which endpoints and routers there are.

    Relays read it often and pass changes on in their data centre; the other routers read it
    seldom, in case a change did not reach them.

    Args:
      source: VM list.
      clock: Source of time.
      publish: Called with the list after each change, and with what a relay passes on or None.
      meters: Metrics of the router.
      seed: Seed of the jitter.
    """

    def __init__(self, source: vms.VmList, clock: clocks.Clock, publish, meters, seed: str):
        super().__init__("vm-watcher", clock, VM_LIST_SECONDS)
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
    def _take(self, message: vms.Changes) -> None:
        """Take changes that a relay passed on."""
        found = vms.apply(self.vms, message)
        if found != self.vms:
            self.vms = found
            self.publish(found, None)

    def tick(self) -> None:
        """Read the list once."""
        try:
            found = self.source.list()
            self.meters.platform_calls.labels("vms", "ok").inc()
        except errors.PlatformError as error:
            self.meters.platform_calls.labels("vms", "error").inc()
            logs.event("vm_list_failed", "debug", cause=error.message)
            return
        spread = 1 + JITTER * (2 * self.random.random() - 1)
        period = VM_LIST_SECONDS if self.is_relay else VM_LIST_SLOW_SECONDS
        self.next_tick = self.clock.monotonic() + period * spread
        if found != self.vms:
            changes = vms.diff(self.vms, found) if self.vms and self.is_relay else None
            self.vms = found
            self.publish(found, changes)


def leaving_endpoints(document: config.Config, listed: tuple[vms.Vm, ...]) -> frozenset[str]:
    """Return the endpoints whose VM the platform is about to take away."""
    leaving = {vm.address for vm in listed if vm.is_leaving}
    return frozenset(e.name for e in document.endpoints if e.address in leaving)
