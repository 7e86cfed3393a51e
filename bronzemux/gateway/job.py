"""A request while it is served, and what all requests of a gateway share."""

import dataclasses

from bronzemux import clock as clocks
from bronzemux import quarantine
from bronzemux.gateway import (
    budget,
    cache_index,
    channels,
    cluster_state,
    meters,
    model,
    placement,
    reachability,
    settings,
    waiting,
)

# Less time than this is no offer to an endpoint.
LEAST_SECONDS = 0.01
# Last of the ten urgencies of an engine.
MAX_URGENCY = 9
# Priorities of routes within one priority of teams.
URGENCY_STEP = 3


@dataclasses.dataclass
class Job:
    """A request while it is served.

    Attributes:
      request: The caller's request.
      route: Its route.
      team: Its team, None on anonymous routes.
      service: Service that was drawn from the route's shares.
      arrived_at: Monotonic seconds.
      deadline_at: Monotonic seconds at which the caller or the route ends it.
      is_sent: Whether the attempt under way may have run.
      runs: Ended attempts that may have run.
      rejections: Attempts that are proved not to have run.
      tried: Lifetimes of endpoints that failed it.
      last_event_id: Last event that the caller has.
      is_started: Whether the caller has the head of the answer.
      waited_seconds: Time spent waiting for an endpoint.
      first_at: Monotonic seconds of the first byte to the caller.
      trail: Endpoints and causes of failed attempts, for the log.
    """

    request: model.Request
    route: model.Route
    team: model.Team | None
    service: str
    arrived_at: float
    deadline_at: float
    config_version: int
    is_sent: bool = False
    runs: int = 0
    rejections: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event_id: int | None = None
    is_started: bool = False
    waited_seconds: float = 0.0
    first_at: float | None = None
    choice: placement.Choice | None = None
    trail: list[str] = dataclasses.field(default_factory=list)

    @property
    def rank(self) -> int:
        """Return the urgency: the team's priority goes before the route's."""
        team = 0 if self.team is None or self.team.priority is None else self.team.priority
        return min(MAX_URGENCY, team * URGENCY_STEP + min(self.route.priority, URGENCY_STEP - 1))


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the requests of one gateway share."""

    settings: settings.GatewaySettings
    clock: clocks.Clock
    protocol: model.Protocol
    cluster_state: cluster_state.ClusterState
    pool: channels.ChannelPool
    reachability: reachability.Reachability
    budget: budget.ServiceBudget
    room: waiting.WaitingRoom
    quarantine: quarantine.Quarantine
    index: cache_index.CacheIndex
    meters: meters.GatewayMetrics
