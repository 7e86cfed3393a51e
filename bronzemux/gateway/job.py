"""State of a request while it is served, and the components that all requests share."""

import dataclasses

from bronzemux import clock as clocks
from bronzemux import quarantine, records
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

# A request with less time than this left is not sent to another endpoint.
MIN_ATTEMPT_SECONDS = 0.01
# Engines distinguish ten urgencies, from 0, the most urgent, to this one.
MAX_URGENCY = 9
# Number of urgencies for each priority of a team; they represent the priorities of routes.
URGENCY_STEP = 3


@dataclasses.dataclass
class Job:
    """State of a request while it is served.

    Attributes:
      request: The caller's request.
      route: Its route.
      team: Its team, None on anonymous routes.
      service: Service that was picked from the route's shares.
      arrived_at: Monotonic seconds of its arrival.
      deadline_at: Monotonic seconds at which the caller's deadline or the route's timeout passes.
      config_version: Version of the configuration that it was admitted with.
      is_attempt_in_flight: Whether the current attempt was sent and may therefore be executed.
      executions: Failed attempts that may have been executed.
      rejections: Failed attempts that were provably not executed.
      tried: Incarnations of the endpoints whose attempts failed.
      last_event_id: Id of the last event that the caller has, None without one.
      is_response_started: Whether the head of the response was sent to the caller.
      waited_seconds: Time spent waiting for an endpoint.
      first_at: Monotonic seconds of the first byte sent to the caller, None before that.
      choice: Endpoint of the last attempt, None before the first.
      failed_attempts: Endpoint and cause of each failed attempt, for the log.
    """

    request: model.Request
    route: model.Route
    team: model.Team | None
    service: str
    arrived_at: float
    deadline_at: float
    config_version: int
    is_attempt_in_flight: bool = False
    executions: int = 0
    rejections: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event_id: int | None = None
    is_response_started: bool = False
    waited_seconds: float = 0.0
    first_at: float | None = None
    choice: placement.Choice | None = None
    failed_attempts: list[str] = dataclasses.field(default_factory=list)

    @property
    def urgency(self) -> int:
        """Return the urgency, 0 for the most urgent: the team's priority, then the route's."""
        team = 0 if self.team is None or self.team.priority is None else self.team.priority
        return min(MAX_URGENCY, team * URGENCY_STEP + min(self.route.priority, URGENCY_STEP - 1))


@records.record
class Components:
    """Components of one gateway that all its requests share."""

    settings: settings.GatewaySettings
    clock: clocks.Clock
    protocol: model.Protocol
    cluster_state: cluster_state.ClusterState
    pool: channels.ChannelPool
    reachability: reachability.Reachability
    budget: budget.ServiceRetryBudget
    wait_queue: waiting.WaitQueue
    quarantine: quarantine.Quarantine
    index: cache_index.CacheIndex
    meters: meters.GatewayMetrics
