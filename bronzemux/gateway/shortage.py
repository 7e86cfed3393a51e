"""Order of requests while the engines have too little room: who is sent, waits or is refused.

Engines admit the more urgent requests first and preempt others for them, and a preempted prompt is
read again as a whole. A request that is held back in a router can still go to the endpoint that is
free first, and is not lost with an endpoint. So requests are sent only while an endpoint has room
for them, and those that are certain to start too late are refused at once.

All functions are pure.
"""

import enum
import hashlib
import math

from bronzemux import records

# Fraction of an endpoint's KV memory that the most urgent requests may take, and the part of it
# that each less urgent level leaves to those above it. The rest allows for what other routers have
# just sent there.
MAX_MEMORY_FRACTION = 0.95
MEMORY_FRACTION_PER_LEVEL = 0.05
# Levels below the most urgent one that leave memory to others.
MAX_LEVELS = 3
# Prompt tokens that may wait to be read at an endpoint, in objectives of the request to be sent.
MAX_BACKLOG_OBJECTIVES = 1.0
# Length of a prompt up to which a request is small: engines read prompts in pieces of about this
# many tokens, so that it delays others, and is delayed by them, for one piece.
SMALL_PROMPT_TOKENS = 2048
# Time until the routers know of each other's requests: a status message through a relay.
UNSEEN_SECONDS = 0.4
# Most of what is on its way to one endpoint, as a multiple of an equal share of the open ones:
# requests prefer the endpoints that have their prompts cached.
SKEW = 2.0
# Time over which the demand of this router is averaged.
DEMAND_SECONDS = 2.0
# Callers abandon a stream without an event after the longest of these: seconds, objectives of the
# first event, objectives of pauses.
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_PAUSE_OBJECTIVES = 8.0
# Objectives that are left to the endpoint until the caller abandons the stream, or its deadline
# passes.
START_OBJECTIVES = 2.0
# A prediction must exceed the time that is left by this factor before a request is refused for it.
PREDICTION_MARGIN = 1.5
# Weight of the newest interval between two grants.
INTERVAL_WEIGHT = 0.2


@records.record
class Room:
    """What the requests of all routers take at one endpoint.

    Attributes:
      requests: Requests there.
      tokens: Prompt tokens that it has not read yet.
      memory: Most tokens of KV memory that the requests can take.
      slots: Requests that it executes concurrently.
      cache_tokens: Its KV memory in tokens.
    """

    requests: int
    tokens: float
    memory: int
    slots: int
    cache_tokens: int


@records.record
class Demand:
    """What a request needs, and how long it has waited.

    Attributes:
      urgency: 0 is the most urgent.
      waited_seconds: Time since its arrival.
      objective_seconds: Objective for its first event.
      prompt_tokens: Length of its prompt.
      memory_tokens: Most tokens of KV memory that it can take.
    """

    urgency: int
    waited_seconds: float
    objective_seconds: float
    prompt_tokens: int
    memory_tokens: int

    @property
    def is_small(self) -> bool:
        """Return whether the request takes so little that it waits for none of the larger ones."""
        return self.prompt_tokens <= SMALL_PROMPT_TOKENS


class Action(enum.Enum):
    """What becomes of a request for which no endpoint has room."""

    WAIT = "wait"
    REFUSE_PREDICTED = "predicted"
    REFUSE_LATE = "late"


def memory_fraction(demand: Demand) -> float:
    """Return the fraction of an endpoint's KV memory up to which a request may be sent there.

    Waiting for one objective counts as much as one level of urgency, so that no request starves.
    """
    if demand.is_small:
        return MAX_MEMORY_FRACTION
    level = demand.urgency - demand.waited_seconds / max(demand.objective_seconds, 0.01)
    return MAX_MEMORY_FRACTION - MEMORY_FRACTION_PER_LEVEL * min(MAX_LEVELS, max(0.0, level))


def has_room(room: Room, demand: Demand, tokens_per_second: float) -> bool:
    """Return whether an endpoint has room for a request.

    An endpoint without requests has room for any, as one that is too large for the limits must not
    wait for ever.

    Args:
      room: The endpoint.
      demand: The request.
      tokens_per_second: Rate at which endpoints read prompts.
    """
    if not room.requests and not room.memory:
        return True
    if room.requests >= room.slots:
        return False
    if room.memory + demand.memory_tokens > memory_fraction(demand) * room.cache_tokens:
        return False
    objective_tokens = demand.objective_seconds * tokens_per_second
    return demand.is_small or room.tokens <= MAX_BACKLOG_OBJECTIVES * objective_tokens


def free_tokens(room: Room, demand: Demand, tokens_per_second: float) -> float:
    """Return the tokens that an endpoint with room for a request can take now.

    Args:
      room: The endpoint.
      demand: The request.
      tokens_per_second: Rate at which endpoints read prompts.
    """
    memory = memory_fraction(demand) * room.cache_tokens - room.memory
    slots = (room.slots - room.requests) * demand.memory_tokens
    backlog = MAX_BACKLOG_OBJECTIVES * demand.objective_seconds * tokens_per_second - room.tokens
    return max(float(demand.memory_tokens), min(memory, slots, backlog))


def offer_probability(free: float, open_count: int, unseen_tokens: float) -> float:
    """Return the probability with which an endpoint is offered to a request.

    All routers see an endpoint that becomes free at the same time, and would all send there until
    they hear of each other. If each request is offered the endpoint with this probability, no more
    arrives there than it can take.

    Args:
      free: Tokens that the endpoint can take.
      open_count: Endpoints that have room.
      unseen_tokens: Tokens that the other routers send before this router knows of it.
    """
    share = unseen_tokens * min(1.0, SKEW / max(1, open_count))
    return 1.0 if share <= free else free / share


def is_offered(request_id: str, incarnation: str, now: float, probability: float) -> bool:
    """Return whether an endpoint is offered to a request; the same for `UNSEEN_SECONDS`.

    Args:
      request_id: Id of the request.
      incarnation: Incarnation of the endpoint.
      now: Monotonic seconds.
      probability: Result of `offer_probability`.
    """
    if probability >= 1.0:
        return True
    key = f"{request_id} {incarnation} {int(now / UNSEEN_SECONDS)}".encode()
    digest = hashlib.blake2b(key, digest_size=8).digest()
    return int.from_bytes(digest, "big") < probability * 2**64


def start_within(
    objective_seconds: float, pause_objective_seconds: float, deadline_seconds: float
) -> float:
    """Return the seconds after its arrival within which a stream has to be sent to an endpoint.

    Args:
      objective_seconds: Objective for its first event.
      pause_objective_seconds: Objective for the pauses between its events.
      deadline_seconds: Time from its arrival to its deadline.
    """
    patience = max(
        PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * objective_seconds,
        PATIENCE_PAUSE_OBJECTIVES * pause_objective_seconds,
    )
    return min(patience, deadline_seconds) - START_OBJECTIVES * objective_seconds


def decide(seconds_left: float, place: int, interval_seconds: float | None) -> Action:
    """Return what becomes of a request for which no endpoint has room.

    Args:
      seconds_left: Seconds within which it has to be sent.
      place: Requests that wait before it.
      interval_seconds: Mean time between two sends out of the queue, None when it is not known.
    """
    if seconds_left <= 0:
        return Action.REFUSE_LATE
    if interval_seconds is None:
        return Action.WAIT
    predicted = (place + 1) * interval_seconds
    return Action.REFUSE_PREDICTED if predicted > PREDICTION_MARGIN * seconds_left else Action.WAIT


def retry_after(seconds_left: float, place: int, interval_seconds: float | None) -> float:
    """Return the seconds after which a refused request could wait for its turn in time.

    Args:
      seconds_left: Seconds within which it had to be sent.
      place: Requests that wait before it.
      interval_seconds: Mean time between two sends out of the queue, None when it is not known.
    """
    return max(0.0, (place + 1) * (interval_seconds or 0.0) - max(0.0, seconds_left))


class GrantRate:
    """Mean time between two sends out of one queue that did not run empty in between.

    Attributes:
      interval_seconds: Moving average, None before the second send.
      granted_at: Monotonic seconds of the last send, None when the queue ran empty since.
    """

    def __init__(self):
        self.interval_seconds: float | None = None
        self.granted_at: float | None = None

    def record(self, now: float, is_empty: bool) -> None:
        """Record that a request was sent out of the queue.

        Args:
          now: Monotonic seconds.
          is_empty: Whether no request waits any more.
        """
        if self.granted_at is not None:
            seconds = now - self.granted_at
            known = seconds if self.interval_seconds is None else self.interval_seconds
            self.interval_seconds = known + INTERVAL_WEIGHT * (seconds - known)
        self.granted_at = None if is_empty else now


class DemandMeter:
    """Tokens of the requests that arrive at this router, averaged over `DEMAND_SECONDS`."""

    def __init__(self):
        self.tokens = 0.0
        self.updated_at = -math.inf

    def record(self, tokens: int, now: float) -> None:
        """Count a request that arrived.

        Args:
          tokens: Most tokens of KV memory that it can take.
          now: Monotonic seconds.
        """
        self.tokens = self._decayed(now) + tokens
        self.updated_at = now

    def unseen_tokens(self, router_count: int, now: float) -> float:
        """Return the tokens that the other routers send before this one knows of it.

        Callers choose their routers at random, so that the others get as much as this one.

        Args:
          router_count: Routers in the deployment, this one included.
          now: Monotonic seconds.
        """
        rate = self._decayed(now) / DEMAND_SECONDS
        return rate * UNSEEN_SECONDS * (router_count - 1)

    def _decayed(self, now: float) -> float:
        return self.tokens * math.exp(-(now - self.updated_at) / DEMAND_SECONDS)
