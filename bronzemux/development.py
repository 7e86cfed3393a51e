"""A whole deployment in one process, with stand-ins for engines, services and the platform."""

import dataclasses
import time

from bronzemux import clock as clocks
from bronzemux import (
    config,
    config_store,
    engine,
    router,
    settings,
    standin_cache,
    standin_engine,
    standin_platform,
    standin_service,
    vms,
)

DEMONSTRATION_KEY = "demo-{deployment}-{team}"
READY_SECONDS = 10.0
READY_POLL_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class DevelopmentSettings:
    """Settings of a development deployment.

    Attributes:
      text: TOML document; addresses of endpoints are replaced.
      routers: Number of routers.
      base_port: First port of the routers, 0 for any ports.
      token_seconds: Time of one generated token at the stand-in engines.
      speed: Factor on the prefill speed of the stand-in engines.
      progress_seconds: Longest pause in an answer of an endpoint.
      late_answer_seconds: How long late answers to filings and orders are waited for.
      drain_seconds: Time for requests to end when a router stops.
    """

    text: str
    routers: int = 2
    base_port: int = 0
    token_seconds: float = 0.002
    speed: float = 1.0
    progress_seconds: float = 5.0
    late_answer_seconds: float = 30.0
    drain_seconds: float = 10.0


class Development:
    """Stand-ins and routers of one deployment.

    Args:
      development_settings: Settings.
      clock: Source of time.
    """

    def __init__(self, development_settings: DevelopmentSettings, clock: clocks.Clock):
        self.settings = development_settings
        self.clock = clock
        self.platform = standin_platform.StandinPlatform(clock)
        self.loads = standin_cache.LoadCounter()
        self.engines: dict[str, standin_engine.StandinEngine] = {}
        self.services: dict[str, standin_service.StandinService] = {}
        self.routers: list[router.Router] = []
        self.text = development_settings.text
        self.document = config.loads(self.text)
        store = self.document.cache_store
        self.store = store and standin_cache.CacheStore(store.tokens_per_second)

    def start(self) -> None:
        """Start everything and wait until the routers serve."""
        self.platform.start()
        for endpoint in self.document.endpoints:
            self._start_endpoint(endpoint)
        self.document = config.loads(self.text)
        change = config_store.Change(0, self.text, "development", "first configuration")
        config_store.ConfigStore(self.platform.table, self.clock).apply(change)
        for position in range(self.settings.routers):
            self.start_router(position)
        self.wait_ready()

    def _start_endpoint(self, endpoint: config.Endpoint) -> None:
        standin = self._engine(endpoint) if endpoint.kind == "model" else self._service(endpoint)
        standin.start()
        self.text = self.text.replace(f'"{endpoint.address}"', f'"127.0.0.1:{standin.port}"')

    def _engine(self, endpoint: config.Endpoint) -> standin_engine.StandinEngine:
        versions = {model.name: model.weights_version for model in self.document.models}
        standin = standin_engine.StandinEngine(
            standin_engine.StandinSettings(
                name=endpoint.name,
                models=tuple((name, versions[name]) for name in endpoint.models),
                prefill_tokens_per_second=endpoint.prefill_tokens_per_second * self.settings.speed,
                token_seconds=self.settings.token_seconds,
                slots=endpoint.slots,
                cache_pieces=endpoint.cache_pieces,
                piece_bytes=self.document.deployment.piece_bytes,
                checks_fencing=endpoint.checks_fencing,
            ),
            self.clock,
            self.loads,
            self.store,
        )
        self.engines[endpoint.name] = standin
        return standin

    def _service(self, endpoint: config.Endpoint) -> standin_service.StandinService:
        standin = standin_service.StandinService(endpoint.name, self.clock)
        self.services[endpoint.name] = standin
        return standin

    def start_router(self, position: int) -> router.Router:
        """Start or replace the router at a position."""
        data_centres = self.document.deployment.data_centres
        port = self.settings.base_port + position if self.settings.base_port else 0
        if position < len(self.routers):
            port = self.routers[position].port
        started = router.Router(
            settings.RouterSettings(
                name=f"router-{position + 1}",
                data_centre=data_centres[position % len(data_centres)],
                port=port,
                platform_port=self.platform.port,
                progress_seconds=self.settings.progress_seconds,
                late_answer_seconds=self.settings.late_answer_seconds,
                drain_seconds=self.settings.drain_seconds,
                peers=tuple(item.mesh.address for item in self.routers),
            ),
            self.clock,
        )
        started.start()
        self.routers[position : position + 1] = [started]
        self._publish_vms()
        return started

    def crash_router(self, position: int) -> None:
        """End a router as a lost VM does: nothing more leaves it, no cancellation either."""
        lost = self.routers[position]
        for standin in lost.engines.engines.values():
            standin.cancel = _ignore
        lost.crash()

    def _publish_vms(self) -> None:
        for item in self.routers:
            address = f"127.0.0.1:{item.port}"
            data_centre = item.settings.data_centre
            self.platform.vms.vms[item.settings.name] = vms.Vm(
                item.settings.name,
                data_centre,
                address,
                "router",
                peer_address=item.mesh.address,
            )
        for endpoint in self.document.endpoints:
            self.platform.vms.vms[endpoint.name] = vms.Vm(
                endpoint.name, endpoint.data_centre, endpoint.address, "endpoint"
            )

    def wait_ready(self) -> None:
        """Wait until every router has a configuration and reports of all endpoints."""
        limit = time.monotonic() + READY_SECONDS
        while time.monotonic() < limit and not all(map(self.is_ready, self.routers)):
            self.clock.sleep(READY_POLL_SECONDS)

    def is_ready(self, item: router.Router) -> bool:
        """Return whether a router has a configuration, its peers and reports of all engines."""
        states = item.dispatcher.fleet.states
        seen = [name for name in self.engines if name in states and states[name].incarnation]
        listed = sum(vm.role == "router" for vm in item.status.vm_list)
        has_vms = self.platform.faults.is_down or listed >= len(self.routers)
        knows_peers = len(item.mesh.membership.alive()) >= len(self.routers)
        is_configured = item.status.snapshot is not None
        return is_configured and len(seen) == len(self.engines) and has_vms and knows_peers

    def key(self, team: str) -> str:
        """Return the demonstration key of a team."""
        return DEMONSTRATION_KEY.format(deployment=self.document.deployment.name, team=team)

    def base_url(self, position: int = 0) -> str:
        """Return the address of a router's interface for callers."""
        return f"http://127.0.0.1:{self.routers[position].port}"

    def executions(self) -> list[standin_engine.Execution]:
        """Return the executions at all engines."""
        return [item for standin in self.engines.values() for item in standin.executions]

    def orders(self) -> list[engine.Order]:
        """Return the orders that all engines carried out."""
        return [item for standin in self.engines.values() for item in standin.orders]

    def stop(self) -> None:
        """End everything at once."""
        for item in self.routers:
            item.crash()
        for standin in (*self.engines.values(), *self.services.values()):
            if standin.is_up:
                standin.crash()
        self.platform.stop()


def _ignore(request_id: str) -> None:
    """Stand for a message that a lost VM does not send."""
