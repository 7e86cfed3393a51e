"""State of a request while it is served, and the components that all requests share."""

import dataclasses
import functools

from bronzemux import clock as clocks
from bronzemux import quarantine, records
from bronzemux.gateway import (
    budget,
    cache_index,
    channels,
    cluster_state,
    continuation,
    crash_attribution,
    endpoint_notices,
    http1,
    meters,
    model,
    placement,
    reachability,
    settings,
    stream_origins,
    usage_gossip,
    waiting,
)

# A request with less time than this left is not sent to another endpoint.
MIN_ATTEMPT_SECONDS = 0.01
# Engines distinguish ten urgencies, from 0, the most urgent, to this one.
MAX_URGENCY = 9
# Number of urgencies for each priority of a team; they represent the priorities of routes.
URGENCY_STEP = 3


@records.state
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
      engine: Properties of its service's engines in that version, None for a plain service.
      is_attempt_in_flight: Whether the current attempt was sent and may therefore be executed.
      executions: Failed attempts that may have been executed.
      rejections: Failed attempts that were provably not executed.
      tried: Incarnations of the endpoints whose attempts failed.
      last_event_id: Id of the last event that the caller has, None without one.
      origin: Where its stream began, None before the first event.
      is_response_started: Whether the head of the response was sent to the caller.
      sent_at: Monotonic seconds at which the last attempt began.
      waited_seconds: Time spent waiting for an endpoint.
      has_awaited_room: Whether it was sent after it had waited for room at an engine.
      first_at: Monotonic seconds of the first byte sent to the caller, None before that.
      longest_pause: Longest time between two events of its stream from one endpoint, in seconds.
      choice: Endpoint of the last attempt, None before the first.
      used_channels: Connections on which the request was sent, or was about to be.
      failed_attempts: Endpoint and cause of each failed attempt, for the log.
      usage: Units charged to the usage cap of the team.
    """

    request: model.Request
    route: model.Route
    team: model.Team | None
    service: str
    arrived_at: float
    deadline_at: float
    config_version: int
    engine: model.EngineTraits | None = None
    is_attempt_in_flight: bool = False
    executions: int = 0
    rejections: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event_id: int | None = None
    origin: stream_origins.StreamOrigin | None = None
    is_response_started: bool = False
    sent_at: float = 0.0
    waited_seconds: float = 0.0
    has_awaited_room: bool = False
    first_at: float | None = None
    longest_pause: float = 0.0
    choice: placement.Choice | None = None
    used_channels: list[http1.Channel] = dataclasses.field(default_factory=list)
    failed_attempts: list[str] = dataclasses.field(default_factory=list)
    usage: int = 0

    @functools.cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the prompt's shared parts, in their order.

        Any part may crash endpoints, so all are described; the size of a request's head bounds them.
        Parts with one id are the same for all teams, except for teams that share none.
        """
        prompt = self.request.prompt
        if prompt is None:
            return ()
        scope = self.team.name if self.team is not None and self.team.is_isolated else ""
        return tuple(
            quarantine.fingerprint(scope, f"{prompt.model}\0{identity}".encode())
            for identity in prompt.part_ids[:-1]
        )

    @functools.cached_property
    def content_fingerprint(self) -> str:
        """Return a hash of the request's content that is the same for retries under other ids.

        The description of the prompt is part of it, as requests for different prompts may be alike
        in all else.
        """
        request, prompt = self.request, self.request.prompt
        parts = ",".join(prompt.part_ids) if prompt is not None else ""
        content = f"{request.method} {request.host} {request.target}\0{parts}\0".encode()
        team = self.team.name if self.team else ""
        return quarantine.fingerprint(team, content, request.body)

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return all fingerprints of the request; see `quarantine.LostRequest`."""
        return (*self.part_fingerprints, self.content_fingerprint)

    def engine_in(self, configuration: model.Configuration) -> model.EngineTraits | None:
        """Return the properties of its service's engines, None for a plain service.

        The configuration in force may list the service no longer, or without engines. Those that
        may still get the request are the same engines, so what its admission knew applies then.

        Args:
          configuration: The configuration in force.
        """
        service = configuration.services.get(self.service)
        return (service.engine if service is not None else None) or self.engine

    def namespace_in(self, configuration: model.Configuration) -> str:
        """Return the namespace of its prompt parts; see `cache_index.namespace_of`.

        A team that was isolated at its admission still is for this request, and one that the
        configuration in force does not list may have been isolated in between.

        Args:
          configuration: The configuration in force.
        """
        team = self.team
        if team is not None and (team.is_isolated or team.name not in configuration.team_names):
            return cache_index.team_namespace(team)
        return cache_index.namespace_of(team, configuration.isolated_teams)

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have executed the request, or may still do so."""
        return self.executions > 0 or self.is_attempt_in_flight

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
    crashes: crash_attribution.CrashAttribution
    index: cache_index.CacheIndex
    meters: meters.GatewayMetrics
    notices: endpoint_notices.NoticeRecorder
    continuation: continuation.Continuation
    usage: usage_gossip.UsageGossip
