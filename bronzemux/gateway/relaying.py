"""Contents of status messages by audience, and the forwarding of updates and loads by relays.

This module does no I/O. Updates travel in one direction: from a router to the relays of its data
centre, from these to the relays of the other data centres, and from each relay to the routers of
its data centre. They never return to their origin, so they need no sequence numbers to detect
duplicates.
"""

import collections
import enum
from typing import Any

from bronzemux.gateway import endpoints, gossip, routers

# Most updates queued for one audience. Older ones are dropped: later messages show the state of
# caches and loads again.
MAX_QUEUED_UPDATES = 256


class Scope(enum.Enum):
    """Routers whose requests the loads of a status message cover.

    OWN: The sender.
    DATA_CENTRE: All routers of the sender's data centre.
    ALL: All routers.
    """

    OWN = "own"
    DATA_CENTRE = "data-centre"
    ALL = "all"


SCOPE_BY_AUDIENCE = {
    routers.Audience.FELLOW: Scope.OWN,
    routers.Audience.REMOTE: Scope.DATA_CENTRE,
    routers.Audience.LOCAL: Scope.ALL,
    routers.Audience.RESERVE: Scope.ALL,
}
# Audiences to which a relay forwards updates, by the scope of the message that contained them. A
# message with scope ALL has reached every router of the data centre already.
FORWARD_AUDIENCES = {
    Scope.OWN: (routers.Audience.REMOTE, routers.Audience.LOCAL, routers.Audience.RESERVE),
    Scope.DATA_CENTRE: (routers.Audience.LOCAL, routers.Audience.RESERVE),
    Scope.ALL: (),
}


def has_full_scope(audience: routers.Audience) -> bool:
    """Return whether an audience gets the loads of all routers from this router."""
    return SCOPE_BY_AUDIENCE[audience] is Scope.ALL


def forward_audiences(message: gossip.Status, table: routers.RouterTable, now: float) -> tuple:
    """Return the audiences to which the updates of a status message are forwarded.

    Args:
      message: The received message.
      table: Known routers.
      now: Monotonic seconds.
    """
    scope = Scope(message.scope)
    if scope is Scope.OWN and not table.is_relayed_to(message.router, now):
        return ()
    return FORWARD_AUDIENCES[scope]


class Outbox:
    """Queues of updates, one for each audience."""

    def __init__(self):
        self.queues: dict[routers.Audience, collections.deque] = {
            audience: collections.deque(maxlen=MAX_QUEUED_UPDATES) for audience in routers.Audience
        }

    def add(self, item: Any, audiences=tuple(routers.Audience)) -> None:
        """Queue an update for the next message to some audiences, by default to all."""
        for audience in audiences:
            self.queues[audience].append(item)

    def pop_all(self, audience: routers.Audience) -> tuple:
        """Remove and return the queued updates of an audience."""
        found = tuple(self.queues[audience])
        self.queues[audience].clear()
        return found


def loads_for(
    states: dict[str, endpoints.EndpointState], audience: routers.Audience, now: float
) -> tuple[gossip.Load, ...]:
    """Return the endpoint loads to send to an audience.

    For fellow routers, also records each load in `EndpointState.reported`.

    Args:
      states: State of the endpoints by identity.
      audience: Audience of the message.
      now: Monotonic seconds.
    """
    found = []
    for key, state in states.items():
        if audience is routers.Audience.FELLOW:
            load = state.reported = state.own_load(now)
        elif audience is routers.Audience.REMOTE:
            load = state.data_centre_load(now)
        else:
            load = state.total_load(now)
        failure_hundredths = int(100 * load.failures)
        if load.requests or load.memory or failure_hundredths:
            tokens = int(load.tokens)
            found.append(gossip.Load(key, load.requests, tokens, failure_hundredths, load.memory))
    return tuple(found)


def apply_loads(
    states: dict[str, endpoints.EndpointState], message: gossip.Status, now: float
) -> None:
    """Apply the endpoint loads of a status message.

    Args:
      states: State of the endpoints by identity.
      message: The received message.
      now: Monotonic seconds.
    """
    source = endpoints.LoadSource(message.router.name)
    scope = Scope(message.scope)
    if scope is Scope.DATA_CENTRE:
        source = endpoints.LoadSource(message.router.data_centre, is_remote=True)
    elif scope is Scope.ALL:
        source = endpoints.ALL_ROUTERS
    loads = {load.endpoint: load for load in message.loads}
    for key, state in states.items():
        load = loads.get(key)
        if load is not None:
            failures = load.failure_hundredths / 100
            peer_load = endpoints.EndpointLoad(load.requests, load.tokens, failures, load.memory)
            state.peer_loads[source] = (peer_load, now)
        elif source is endpoints.ALL_ROUTERS:
            # An absent entry means no load. Recording a load of zero keeps this router's own
            # requests from being counted twice.
            state.peer_loads[source] = (endpoints.EndpointLoad(), now)
        else:
            state.peer_loads.drop(source)
