"""State and components that the tasks and the HTTP interface of one router share."""

import dataclasses

from bronzemux import (
    claims,
    config_store,
    dispatcher,
    engine,
    errors,
    interruption,
    locate,
    metrics,
    settings,
    vms,
)
from bronzemux import clock as clocks
from bronzemux import snapshot as snapshots


@dataclasses.dataclass
class Status:
    """Mutable state of the router as a whole.

    Attributes:
      snapshot: Configuration in force, None before the first one is applied.
      vm_list: VM list as it was last read.
      unavailable_routers: Names of routers that the membership lists as dead or draining.
      is_draining: Whether this router is shutting down gracefully.
      in_flight: Number of requests in flight in this router.
      scopes: Scopes in which the requests of callers can be interrupted.
    """

    snapshot: snapshots.Snapshot | None = None
    vm_list: tuple[vms.Vm, ...] = ()
    unavailable_routers: frozenset[str] = frozenset()
    is_draining: bool = False
    in_flight: int = 0
    scopes: set[interruption.Scope] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Context:
    """Components of one router.

    Attributes:
      settings: Settings of the router.
      clock: Source of time.
      meters: Metrics of the router.
      status: Mutable state of the router.
      dispatcher: Task that assigns endpoints to requests.
      config_store: Store of accepted configurations.
      claims: Claims of non-idempotent requests.
      engine_of: Returns the engine at an endpoint.
      members: Returns the routers that the membership knows.
    """

    settings: settings.RouterSettings
    clock: clocks.Clock
    meters: metrics.Metrics
    status: Status
    dispatcher: dispatcher.Dispatcher
    config_store: config_store.ConfigStore
    claims: claims.Claims
    engine_of: "EngineFactory"
    members: "MembersSource"

    def snapshot(self) -> snapshots.Snapshot:
        """Return the configuration in force.

        Raises:
          errors.UnavailableError: Before the first configuration is applied.
        """
        if self.status.snapshot is None:
            raise errors.UnavailableError(
                "the router has no configuration yet",
                "apply one with `bronzemux-ctl config apply`, or wait for the platform",
                retry_after=1.0,
            )
        return self.status.snapshot

    def mesh_keys(self) -> tuple[bytes, ...]:
        """Return the keys that all routers share, the signing key first."""
        return tuple(key.encode() for key in self.settings.mesh_keys)

    def routers(self) -> list[locate.RouterAddress]:
        """Return the routers that accept new callers."""
        unavailable = self.status.unavailable_routers
        if self.status.snapshot is not None:
            unavailable |= set(self.status.snapshot.config.operations.drained_vms)
        if self.status.is_draining:
            unavailable |= {self.settings.name}
        return locate.candidates(self.status.vm_list, unavailable)


class EngineFactory:
    """Interface of `Context.engine_of`."""

    def __call__(self, endpoint) -> engine.Engine:
        """Return the engine at an endpoint.

        Args:
          endpoint: Endpoint as configured.
        """
        raise NotImplementedError


class MembersSource:
    """Interface of `Context.members`."""

    def __call__(self) -> list[dict]:
        """Return the state of each router that the membership knows, as a JSON object."""
        raise NotImplementedError
