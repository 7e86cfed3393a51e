"""One router: its tasks, its interface and its graceful stop."""

import gevent

from bronzemux import (
    claims,
    committer,
    config,
    config_store,
    context,
    dispatcher,
    engine_http,
    http_client,
    http_server,
    lease,
    logs,
    mesh,
    messages,
    metrics,
    objects,
    rollout,
    settings,
    settler,
    supervisor,
    sweeper,
    table,
    vms,
    watcher,
    web,
    wire,
)
from bronzemux import clock as clocks
from bronzemux import snapshot as snapshots

DRAIN_POLL_SECONDS = 0.05


class Engines(context.EngineFactory):
    """Engines by endpoint, kept while their address stays.

    Args:
      timeouts: Limits of waiting.
    """

    def __init__(self, timeouts: http_client.Timeouts):
        self.timeouts = timeouts
        self.engines: dict[tuple[str, str], engine_http.HttpEngine] = {}

    def __call__(self, endpoint: config.Endpoint) -> engine_http.HttpEngine:
        """Return the engine at an endpoint."""
        key = (endpoint.name, endpoint.address)
        if key not in self.engines:
            self.engines[key] = engine_http.HttpEngine(
                endpoint.name, endpoint.host, endpoint.port, self.timeouts
            )
        return self.engines[key]


class Router:
    """A router as a tree of supervised tasks.

    Args:
      router_settings: Settings.
      clock: Source of time.
    """

    def __init__(self, router_settings: settings.RouterSettings, clock: clocks.Clock):
        self.settings = router_settings
        self.clock = clock
        self.meters = metrics.Metrics()
        self.status = context.Status()
        self.root = supervisor.Supervisor("root", clock)
        self.watchers = supervisor.Supervisor("watchers", clock)
        self.engines = Engines(
            http_client.Timeouts(router_settings.connect_seconds, router_settings.progress_seconds)
        )
        self._build_platform()
        self._build_tasks()
        self.server = http_server.Server(
            (router_settings.host, router_settings.port), web.App(self.context)
        )

    def _build_platform(self) -> None:
        service = http_client.PlatformServiceSettings(
            self.settings.platform_host, self.settings.platform_port
        )
        self.table = table.HttpTable(service)
        self.objects = objects.HttpObjects(service)
        self.vm_list = vms.HttpVmList(service)

    def _build_tasks(self) -> None:
        name = self.settings.name
        self.dispatcher = dispatcher.Dispatcher(
            dispatcher.DispatcherSettings(self.settings.data_centre),
            self.clock,
            self.meters,
            lambda fingerprints: self.mesh.send(mesh.RequestsQuarantined(fingerprints)),
        )
        self.mesh = mesh.Mesh(
            self.settings,
            self.clock,
            self.meters,
            self.dispatcher,
            lambda head: self.config_watcher.send(head),
            self._publish_members,
            lambda changes: self.vm_watcher.send(changes),
        )
        self.committer = committer.Committer(self.table, self.clock, self.meters)
        self.settler = settler.Settler(self.committer, self.table, self.clock)
        claim_settings = claims.ClaimSettings(self.mesh.identity)
        self.sweeper = sweeper.Sweeper(
            claim_settings,
            name,
            self.table,
            self.objects,
            self.committer,
            self.clock,
            lambda: [member.name for member in self.mesh.membership.alive()],
        )
        self.claims = claims.Claims(
            claim_settings,
            self.table,
            self.objects,
            self.committer,
            self.settler,
            self.clock,
            self.meters,
            self.mesh.is_holder_gone,
        )
        self.rollout = rollout.RolloutTask(
            rollout.RolloutSettings(
                self.mesh.identity,
                self.settings.data_centre,
                lease.LeaseSettings(self.settings.lease_seconds),
            ),
            self.table,
            self.dispatcher,
            self.engines,
            self.clock,
        )
        store = config_store.ConfigStore(self.table, self.clock)
        self.config_watcher = watcher.ConfigWatcher(
            store, self.clock, self._publish_snapshot, self.meters, name
        )
        self.vm_watcher = watcher.VmWatcher(
            self.vm_list, self.clock, self._publish_vms, self.meters, name
        )
        self.context = context.Context(
            settings=self.settings,
            clock=self.clock,
            meters=self.meters,
            status=self.status,
            dispatcher=self.dispatcher,
            config_store=store,
            claims=self.claims,
            engine_of=self.engines,
            members=self._describe_members,
        )

    # Life

    def start(self) -> None:
        """Start the tasks and listen."""
        tasks = (
            self.dispatcher,
            self.committer,
            self.settler,
            self.sweeper,
            self.watchers,
            self.mesh,
            self.rollout,
            self.config_watcher,
            self.vm_watcher,
        )
        for task in tasks:
            self.root.add(task)
        self.server.start()
        logs.event("router_started", router=self.settings.name, port=self.server.server_port)

    @property
    def port(self) -> int:
        """Return the TCP port for callers."""
        return self.server.server_port

    def stop(self) -> int:
        """Stop gracefully: turn callers away, finish what runs, then end.

        Returns:
          Number of requests that were still running at the limit.
        """
        self.status.is_draining = True
        self.mesh.send(mesh.Drain())
        logs.event("router_draining", router=self.settings.name, in_flight=self.status.in_flight)
        limit = self.clock.monotonic() + self.settings.drain_seconds
        self.rollout.send(rollout.ReleaseLeases())
        while self._is_busy() and self.clock.monotonic() < limit:
            self.clock.sleep(DRAIN_POLL_SECONDS)
        left = self.status.in_flight
        self.server.stop(timeout=1)
        self.root.stop()
        level = "warning" if left else "info"
        logs.event("router_stopped", level, router=self.settings.name, left_requests=left)
        return left

    def _is_busy(self) -> bool:
        """Return whether requests run or writes of claims are pending."""
        return bool(self.status.in_flight or self.settler.pending)

    def crash(self) -> None:
        """End at once, as a lost VM does."""
        self.server.abort()
        self.root.stop()
        self.watchers.stop()

    # Changes

    def _publish_snapshot(self, snapshot: snapshots.Snapshot, head: config_store.Head) -> None:
        self.status.snapshot = snapshot
        self.dispatcher.send(messages.SnapshotChanged(snapshot))
        self.rollout.send(messages.SnapshotChanged(snapshot))
        self.mesh.send(mesh.ConfigApplied(head))
        self._update_watchers(snapshot.config)
        self._publish_leaving()

    def _publish_vms(self, listed: tuple[vms.Vm, ...], changes: vms.Changes | None) -> None:
        self.status.vm_list = listed
        self.mesh.send(mesh.VmListChanged(listed, changes))
        self._publish_leaving()

    def _publish_members(self, members: list[wire.Member]) -> None:
        away = [m for m in members if m.is_draining or m.state is wire.MemberState.DEAD]
        self.status.unavailable_routers = frozenset(member.name for member in away)
        is_relay = self.mesh.membership.is_relay()
        self.config_watcher.is_relay = is_relay
        self.vm_watcher.is_relay = is_relay
        for state in wire.MemberState:
            count = sum(member.state is state for member in members)
            self.meters.members.labels(state.name.lower()).set(count)

    def _describe_members(self) -> list[dict]:
        versions = self.mesh.membership.peer_config_versions
        own = self.mesh.membership.config_version
        return [
            {
                "name": member.name,
                "data_centre": member.data_centre,
                "address": member.address,
                "state": member.state.name.lower(),
                "is_draining": member.is_draining,
                "version": own if not position else versions.get(member.address, 0),
            }
            for position, member in enumerate(self.mesh.membership.members())
        ]

    def _publish_leaving(self) -> None:
        if self.status.snapshot is not None:
            names = watcher.leaving_endpoints(self.status.snapshot.config, self.status.vm_list)
            self.dispatcher.send(messages.LeavingEndpoints(names))

    def _update_watchers(self, document: config.Config) -> None:
        wanted = {f"watch-{e.name}": e for e in document.endpoints}
        for child in list(self.watchers.children):
            if wanted.get(child.name) != child.endpoint:
                self.watchers.remove(child.name)
        present = {child.name for child in self.watchers.children}
        for name, endpoint in wanted.items():
            if name not in present:
                self.watchers.add(
                    watcher.EndpointWatcher(endpoint, self.engines, self.dispatcher, self.clock)
                )

    def run_until(self, stopped: gevent.event.Event) -> int:
        """Serve until an event is set, then stop gracefully.

        Returns:
          Number of requests that had to be left.
        """
        self.start()
        stopped.wait()
        return self.stop()
