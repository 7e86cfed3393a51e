"""One gateway: its parts, its tasks, its start and its graceful stop."""

import dataclasses

import gevent
import gevent.event

from bronzemux import clock as clocks
from bronzemux import errors, http_server, lease, logs, quarantine, supervisor, table
from bronzemux.gateway import (
    admission,
    budget,
    cache_index,
    cache_store_watcher,
    channels,
    directory,
    endpoints,
    feed,
    forwarder,
    gossip,
    ingress,
    knowledge,
    meters,
    model,
    orders,
    peering,
    reachability,
    routers,
    rows,
    settings,
    waiting,
    weights,
)
from bronzemux.gateway import job as jobs

ROUTER_PREFIX = "router/"
# Rows of one answer of the store.
MAX_ROUTER_ROWS = 500
# Fine enough for the 1.8 s of lapsed entries.
HOUSEKEEPING_SECONDS = 0.5
# Routers that nobody can name by gossip are looked up again in the store this often.
LOOKUP_SECONDS = 20.0
# How often a router looks whether it has to register or to look others up.
REGISTRATION_SECONDS = 0.5
# A failed registration is repeated after this time.
REGISTRATION_RETRY_SECONDS = 1.0
# Endpoint lifetimes lost at which a request is held to crash them: the third is the last that
# the deployment allows.
DEATHS_TO_QUARANTINE = 3
# Part of the stop in which new callers may still come: they keep a directory answer for up to
# three times its lifetime.
LINGER_SHARE = 0.6
# Without a request for so long, callers are taken to have moved to other routers.
QUIET_SECONDS = 1.0
# Kept from the time until SIGKILL for closing down.
STOP_MARGIN_SECONDS = 0.4
# Requests that come this late in a stop are only taken when their deadline ends before it does:
# by then callers have had twice the lifetime of a directory answer to go elsewhere.
ADMIT_SECONDS = 2 * directory.TTL_SECONDS - 0.2
# Fine against the seconds of a stop.
POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a gateway needs of the platform it runs on.

    Attributes:
      protocol: What callers and endpoints speak.
      documents: Decoders of what lies in the store.
      directory: Form of the directory.
      feeds: One source of rows for each table that is followed.
      table: Rows of the gateway's own.
      calls: Controls of the endpoints.
      caches: Calls of cache stores.
    """

    protocol: model.Protocol
    documents: knowledge.Documents
    directory: directory.DirectoryFormat
    feeds: dict[str, rows.RowSource]
    table: table.TableService
    calls: orders.Orderer
    caches: cache_store_watcher.CacheStoreClient


class Housekeeping(supervisor.Task):
    """Periodic work that belongs to no other task."""

    def __init__(self, gateway: "Gateway"):
        super().__init__("housekeeping", gateway.clock, HOUSEKEEPING_SECONDS)
        self.gateway = gateway

    def tick(self) -> None:
        """Drop what has expired and set the gauges."""
        self.gateway.keep_house()


class Registration(supervisor.Task):
    """Writes this router into the store and reads the others from it."""

    def __init__(self, gateway: "Gateway"):
        super().__init__("registration", gateway.clock, REGISTRATION_SECONDS)
        self.gateway = gateway
        self.is_written = False
        self.next_lookup = 0.0
        self.not_before = 0.0

    def tick(self) -> None:
        """Register, and look the others up.

        While routers are many, only relays do: they are found first, and name the rest.
        """
        now = self.clock.monotonic()
        if now < self.not_before or not self.gateway.peering.must_follow_store():
            return
        try:
            if not self.is_written:
                self._write()
            if now >= self.next_lookup:
                self._read()
                self.next_lookup = now + LOOKUP_SECONDS
        except errors.PlatformError as error:
            logs.event("registration_failed", "warning", cause=str(error))
            self.not_before = now + REGISTRATION_RETRY_SECONDS

    def _write(self) -> None:
        """Write the own row, in one call when there is none yet."""
        own = self.gateway.routers.own
        key = ROUTER_PREFIX + own.name
        value = gossip.encode_router(own)
        service = self.gateway.platform.table
        try:
            service.transact([table.Write(key, table.ABSENT, value)])
        except errors.WriteConflictError:
            known = service.read([key])[0]
            if known is not None and known.value != value:
                service.transact([table.Write(key, known.version, value)])
        self.is_written = True

    def _read(self) -> None:
        found = self.gateway.platform.table.scan(ROUTER_PREFIX, MAX_ROUTER_ROWS)
        now = self.clock.monotonic()
        for row in found:
            try:
                router = gossip.decode_router(row.value)
            except gossip.GossipError as error:
                logs.event("router_row_rejected", "warning", key=row.key, cause=str(error))
                continue
            # A reason to connect, not to send callers there.
            self.gateway.routers.learn(dataclasses.replace(router, is_ready=False), now)


class Gateway:
    """One gateway process.

    Args:
      config: Settings.
      platform: What it runs on.
      clock: Source of time that counts pauses of the VM.
    """

    def __init__(self, config: settings.GatewaySettings, platform: Platform, clock: clocks.Clock):
        self.settings = config
        self.platform = platform
        self.clock = clock
        self.meters = meters.GatewayMetrics()
        self.is_stopping = False
        self.was_ready = False
        boot = int(clock.now().timestamp() * 1000)
        own = gossip.Router(
            config.name,
            boot,
            config.reachable_address,
            config.ingress_address,
            config.data_centre,
            False,
            config.cpu_cores,
        )
        self.routers = routers.RouterTable(own)
        self.endpoints = endpoints.EndpointTable()
        self.knowledge = knowledge.Knowledge(platform.documents, clock, self.endpoints)
        room = waiting.WaitingRoom()
        parts = jobs.Parts(
            config,
            clock,
            platform.protocol,
            self.knowledge,
            channels.ChannelPool(clock),
            reachability.Reachability(clock, room.wake),
            budget.ServiceBudget(config.bounds),
            room,
            quarantine.Quarantine(DEATHS_TO_QUARANTINE),
            cache_index.CacheIndex(),
            self.meters,
        )
        self.parts = parts
        self.forwarder = forwarder.Forwarder(parts, self._router_count)
        self.ingress = ingress.Ingress(config.ingress_address, self.forwarder, clock)
        self.board = weights.WeightsBoard(self.endpoints, clock)
        self.board.on_change.append(parts.room.wake)
        self.knowledge.on_change.append(parts.room.wake)
        self.knowledge.on_change.append(self.check_ready)
        self.supervisor = supervisor.Supervisor("gateway", clock)
        self.pages: list[http_server.Server] = []
        self.registration = Registration(self)
        self.peering = peering.Peering(config, self.forwarder, self.board, self.routers)
        self.peering.watched_store = self._cache_store
        self.weights = weights.Weights(
            config,
            self.knowledge,
            self.board,
            self._lease(boot),
            platform.calls,
            self.meters,
            self.peering.must_follow_store,
        )

    def _lease(self, boot: int) -> lease.Lease:
        length = lease.LeaseSettings(self.settings.bounds.lease_seconds, weights.MARGIN_SECONDS)
        holder = f"{self.settings.name}@{boot}"
        return lease.Lease(weights.LEASE_NAME, holder, length, self.platform.table, self.clock)

    def _router_count(self) -> int:
        return self.routers.count(self.clock.monotonic())

    # Start

    def start(self) -> None:
        """Begin to serve.

        Raises:
          OSError: When an address is taken.
        """
        self._start_pages()
        self.ingress.start()
        for name, source in self.platform.feeds.items():
            self.supervisor.add(self._feed(name, source))
        self.supervisor.add(self.peering)
        self.supervisor.add(
            cache_store_watcher.CacheStoreWatcher(
                self.platform.caches,
                self.parts.index,
                self._cache_store,
                self.clock,
            )
        )
        self.supervisor.add(self.registration)
        self.supervisor.add(self.weights)
        self.supervisor.add(Housekeeping(self))
        logs.event(
            "gateway_started",
            router=self.settings.name,
            data_centre=self.settings.data_centre,
            ingress=self.settings.ingress_address,
            boot=self.routers.own.boot,
        )

    def _cache_store(self) -> str:
        """Return the cache store that this router watches, empty for none."""
        config = self.knowledge.configuration
        place = self.peering.watcher_place()
        stores = config.cache_stores() if config is not None else ()
        if place is None or not stores:
            return ""
        return sorted(store.cache_store for store in stores)[place % len(stores)]

    def _feed(self, name: str, source: rows.RowSource) -> feed.Feed:
        replica = self.knowledge.replicas[name]

        def on_batch(table_name: str, batch: rows.Batch) -> None:
            self.knowledge.take(table_name, batch, "store")

        def on_contact(contact: feed.StoreContact) -> None:
            self.knowledge.contact(contact.table, contact.is_up)

        return feed.Feed(
            name,
            source,
            self.clock,
            lambda: replica.version,
            on_batch,
            on_contact,
            self.peering.must_follow_store,
        )

    def _start_pages(self) -> None:
        pages = directory.Pages(
            self.platform.directory,
            self.routers,
            self.is_ready,
            self.expose,
            self.clock,
            self.settings.bounds.directory_ttl_seconds,
        )
        addresses = {self.settings.ready_address, self.settings.directory_address}
        if self.settings.metrics_port:
            host = self.settings.ingress_address.rpartition(":")[0]
            addresses.add(f"{host}:{self.settings.metrics_port}")
        for address in addresses:
            host, _, port = address.rpartition(":")
            server = http_server.Server((host, int(port)), pages)
            server.start()
            self.pages.append(server)

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return not self.is_stopping and self.knowledge.is_complete()

    def check_ready(self) -> None:
        """Tell the others when this router begins or ends to take callers."""
        is_ready = self.is_ready()
        if is_ready == self.was_ready:
            return
        self.was_ready = is_ready
        self.routers.own = dataclasses.replace(self.routers.own, is_ready=is_ready)
        config = self.knowledge.configuration
        logs.event("ready", is_ready=is_ready, config=config.version if config else None)
        for listener in self.board.on_news:
            listener()

    def keep_house(self) -> None:
        """Drop what has expired and set the gauges."""
        self.knowledge.expire()
        self.parts.pool.prune()
        for state in self.endpoints.states.values():
            if state.is_suspected and self.forwarder.lost:
                self.forwarder.confirm_death(state.endpoint.incarnation)
        self.forwarder.forget_losses()
        config = self.knowledge.configuration
        self.meters.config_version.set(config.version if config else 0)
        self.meters.config_age.set(self.knowledge.age())
        self.meters.in_flight.set(self.ingress.in_flight)
        self.meters.connections.set(self.parts.pool.opened_count)

    def expose(self) -> bytes:
        """Return the metrics as text."""
        return self.meters.expose()

    # Stop

    def run_until(self, stopped: gevent.event.Event) -> int:
        """Serve until an event is set, then stop gracefully.

        Returns:
          Requests that were cut off.
        """
        self.start()
        stopped.wait()
        return self.stop()

    def stop(self) -> int:
        """Send callers elsewhere, answer what is here, and end.

        Returns:
          Requests that were cut off.
        """
        began_at = self.clock.monotonic()
        last = began_at + self.settings.bounds.stop_seconds - STOP_MARGIN_SECONDS
        self.is_stopping = self.ingress.is_stopping = True
        self.ingress.admission.stop = admission.Stop(began_at + ADMIT_SECONDS, last)
        self.check_ready()
        logs.event("gateway_stopping", in_flight=self.ingress.in_flight)
        gevent.spawn(self.weights.stop_orders)
        gevent.spawn(self._unregister)
        linger = began_at + self.settings.bounds.stop_seconds * LINGER_SHARE
        while self.clock.monotonic() < linger and not self._is_quiet(began_at):
            self.clock.sleep(POLL_SECONDS)
        self.ingress.stop_accepting()
        while self.ingress.in_flight and self.clock.monotonic() < last:
            self.clock.sleep(POLL_SECONDS)
        left = self.ingress.in_flight
        logs.event(
            "gateway_stopped",
            "warning" if left else "info",
            cut=left,
            seconds=self.clock.monotonic() - began_at,
        )
        for server in self.pages:
            server.stop(timeout=0)
        self.supervisor.stop()
        return left

    def _is_quiet(self, began_at: float) -> bool:
        """Return whether callers have had time to learn of the stop and none came lately."""
        now = self.clock.monotonic()
        learned = now - began_at > 2 * directory.TTL_SECONDS
        return learned and now - self.ingress.last_request_at > QUIET_SECONDS

    def _unregister(self) -> None:
        if not self.registration.is_written:
            return
        try:
            key = ROUTER_PREFIX + self.settings.name
            known = self.platform.table.read([key])[0]
            if known is not None:
                self.platform.table.transact([table.Write(key, known.version, None)])
        except errors.PlatformError as error:
            logs.event("registration_failed", "warning", cause=str(error))
