"""What the tasks and the interface of one router share."""

import dataclasses

from bronzemux import (
    claims,
    config_store,
    dispatcher,
    engine,
    errors,
    locate,
    metrics,
    settings,
    vms,
)
from bronzemux import clock as clocks
from bronzemux import snapshot as snapshots


@dataclasses.dataclass
class Status:
    """State of the router as a whole.

    Attributes:
      snapshot: Configuration in force, None before the first.
      vm_list: VM list as last read.
      unavailable_routers: Routers that the membership holds for dead or draining.
      is_draining: Whether this router is stopping.
      in_flight: Requests in this router.
    """

    snapshot: snapshots.Snapshot | None = None
    vm_list: tuple[vms.Vm, ...] = ()
    unavailable_routers: frozenset[str] = frozenset()
    is_draining: bool = False
    in_flight: int = 0


@dataclasses.dataclass(frozen=True)
class Context:
    """Parts of one router.

    Attributes:
      settings: Settings of the router.
      clock: Source of time.
      meters: Metrics.
      status: State of the router.
      dispatcher: Task that assigns endpoints.
      config_store: Accepted configurations.
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
          errors.UnavailableError: Before the first configuration arrived.
        """
        if self.status.snapshot is None:
            raise errors.UnavailableError(
                "the router has no configuration yet",
                "apply one with `bronzemux-ctl config apply`, or wait for the platform",
                retry_after=1.0,
            )
        return self.status.snapshot

    def mesh_keys(self) -> tuple[bytes, ...]:
        """Return the shared keys, the signing key first."""
        return tuple(key.encode() for key in self.settings.mesh_keys)

    def routers(self) -> list[locate.RouterAddress]:
        """Return the routers that take new callers."""
        away = self.status.unavailable_routers
        if self.status.snapshot is not None:
            away |= set(self.status.snapshot.config.operations.drained_vms)
        if self.status.is_draining:
            away |= {self.settings.name}
        return locate.candidates(self.status.vm_list, away)


class EngineFactory:
    """Returns the engine at an endpoint."""

    def __call__(self, endpoint) -> engine.Engine:
        """Return the engine."""
        raise NotImplementedError


class MembersSource:
    """Returns the routers that the membership knows."""

    def __call__(self) -> list[dict]:
        """Return one mapping a router."""
        raise NotImplementedError
