"""What a router tells whom, of its own and of what others told it; a machine without I/O.

News goes one way: from a router to the relays of its data centre, from there to the relays of the
others, and from each relay to its data centre. Nothing goes back where it came from, so it needs no
number to be told apart from what is known.
"""

import collections
import enum
from typing import Any

from bronzemux.gateway import endpoints, gossip, routers

# News that waits for one audience; older news is dropped, as caches and loads show again.
WAITING_NEWS = 256


class Scope(enum.Enum):
    """Whose requests a status message sums up.

    OWN: Those of the sender.
    DATA_CENTRE: Those of the sender's data centre.
    ALL: Those of all routers.
    """

    OWN = "own"
    DATA_CENTRE = "data-centre"
    ALL = "all"


SCOPES = {
    routers.Audience.FELLOW: Scope.OWN,
    routers.Audience.REMOTE: Scope.DATA_CENTRE,
    routers.Audience.LOCAL: Scope.ALL,
    routers.Audience.RESERVE: Scope.ALL,
}
# Which audience gets news that came in a message of a scope; a message that was for this
# router's data centre has reached everyone in it already.
PASSED_ON = {
    Scope.OWN: (routers.Audience.REMOTE, routers.Audience.LOCAL, routers.Audience.RESERVE),
    Scope.DATA_CENTRE: (routers.Audience.LOCAL, routers.Audience.RESERVE),
    Scope.ALL: (),
}


def is_local(audience: routers.Audience) -> bool:
    """Return whether an audience hears of everything from this router alone."""
    return SCOPES[audience] is Scope.ALL


def passed_on(message: gossip.Status, table: routers.RouterTable, now: float) -> tuple:
    """Return the audiences that get what a message tells.

    Args:
      message: The message.
      table: Routers.
      now: Monotonic seconds.
    """
    scope = Scope(message.scope)
    if scope is Scope.OWN and not table.is_relayed_to(message.router, now):
        return ()
    return PASSED_ON[scope]


class Outbox:
    """News that waits for each audience."""

    def __init__(self):
        self.waiting: dict[routers.Audience, collections.deque] = {
            audience: collections.deque(maxlen=WAITING_NEWS) for audience in routers.Audience
        }

    def add(self, item: Any, audiences=tuple(routers.Audience)) -> None:
        """Keep an item for audiences until their next message, by default for all."""
        for audience in audiences:
            self.waiting[audience].append(item)

    def take(self, audience: routers.Audience) -> tuple:
        """Return what waits for an audience, which is then told."""
        found = tuple(self.waiting[audience])
        self.waiting[audience].clear()
        return found


def loads(
    states: dict[str, endpoints.EndpointState], audience: routers.Audience, now: float
) -> tuple[gossip.Load, ...]:
    """Return the loads that an audience is told.

    Args:
      states: State of the endpoints by identity.
      audience: Who is told.
      now: Monotonic seconds.
    """
    found = []
    for key, state in states.items():
        if audience is routers.Audience.FELLOW:
            load = state.reported = state.own_load(now)
        elif audience is routers.Audience.REMOTE:
            load = state.near_load(now)
        else:
            load = state.whole_load(now)
        hundredths = int(100 * load.failures)
        if load.requests or load.memory or hundredths:
            tokens = int(load.tokens)
            found.append(gossip.Load(key, load.requests, tokens, hundredths, load.memory))
    return tuple(found)


def take_loads(
    states: dict[str, endpoints.EndpointState], message: gossip.Status, now: float
) -> None:
    """Take the loads of a message in.

    Args:
      states: State of the endpoints by identity.
      message: The message.
      now: Monotonic seconds.
    """
    source = endpoints.Source(message.router.name)
    scope = Scope(message.scope)
    if scope is Scope.DATA_CENTRE:
        source = endpoints.Source(message.router.data_centre, is_remote=True)
    elif scope is Scope.ALL:
        source = endpoints.TOTAL
    found = {load.endpoint: load for load in message.loads}
    for key, state in states.items():
        load = found.get(key)
        if load is not None:
            failures = load.failure_hundredths / 100
            known = endpoints.PeerLoad(load.requests, load.tokens, failures, load.memory)
            state.peer_loads[source] = (known, now)
        elif source is endpoints.TOTAL:
            # Nothing there is news as well: this router's own requests are not to count twice.
            state.peer_loads[source] = (endpoints.PeerLoad(), now)
        else:
            state.peer_loads.pop(source, None)
