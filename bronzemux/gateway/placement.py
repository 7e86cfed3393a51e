"""Choice of the endpoint for a request; pure decisions over the state of the endpoints.

The estimate for a model endpoint is the time until the request's first token: what others wait for
there, the prompt tokens that are in no cache, and the transfer of cached ones from a holder.
"""

import dataclasses
import hashlib
import heapq

from bronzemux.gateway import cache_index, endpoints, model

# Prompt tokens that an endpoint of ordinary speed reads in a second; only the proportion to the
# transfer rate matters, as each endpoint's slowness is learned.
READ_TOKENS_PER_SECOND = 40_000.0
# Cached tokens that a link moves in a second: 180 Gbit/s at 164 kB a token.
FETCH_TOKENS_PER_SECOND = 137_000.0
# Transfers between data centres take twice as long.
REMOTE_FETCH_FACTOR = 2.0
# Running requests slow each other a little; a tenth of a step of the engine each.
RUNNING_SECONDS = 0.0006
# Disadvantage of each place in the hash order for a prefix that nobody holds: routers agree on
# the place, and leave it when it has about two mean prompts more to read than the next.
RANK_SECONDS = 0.05
# Reading a prefix again that is held elsewhere costs its endpoint the time, and on the price sheets
# about a third of a late answer for a thousand tokens: 0.2 s of a stream's objective.
REREAD_SECONDS_PER_TOKEN = 0.2 / 1000
# Endpoints of which all are estimated; with more, this many holders of the prefix, first ones of the
# hash order, and idle ones. The places after them would cost more than half an objective.
ALL_CANDIDATES = 12
SHORT_LIST = 5
# Endpoints with this part of their slots taken need their memory for requests: a copy would have
# others preempted.
BACKUP_SHARE = 0.25
# Bytes between data centres cost little beside a late answer.
REMOTE_SECONDS = 0.002
# Each recent failure weighs as this share of a request's time to answer.
FAILURE_WEIGHT = 2.0
# Work of a plain request, until an endpoint has shown its own.
DEFAULT_LATENCY_SECONDS = 0.05
# An answer on replaced weights loses a fifth of its worth, a late one about 0.7 of it.
STALE_OBJECTIVES = 0.2 / 0.7


@dataclasses.dataclass(frozen=True)
class Choice:
    """Where a request goes.

    Attributes:
      state: The endpoint.
      weights: Version that must be loaded there, None for a plain service.
      salt: Cache salt, empty for a plain service.
      fetch_from: Address of a holder of cached parts, empty for none.
      save_to: Address of the store that is to keep the parts, empty for none.
      expected_seconds: Estimated time to the first event.
      read_tokens: Prompt tokens that are to be read.
      cached_tokens: Prompt tokens that are believed to be cached there.
      considered: Endpoints that could have got it.
      backup: Endpoint that gets a copy of the run's memory, None for none.
      is_continuation: Whether the run goes on from the copy that the endpoint has.
    """

    state: endpoints.EndpointState
    weights: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    expected_seconds: float = 0.0
    read_tokens: float = 0.0
    cached_tokens: int = 0
    considered: int = 0
    backup: endpoints.EndpointState | None = None
    is_continuation: bool = False


@dataclasses.dataclass(frozen=True)
class Place:
    """Where this gateway stands and what it knows of caches.

    Attributes:
      data_centre: Data centre of this gateway.
      index: Belief about caches.
      stores: Address and data centre of cache stores.
    """

    data_centre: str
    index: cache_index.CacheIndex
    stores: tuple[tuple[str, str], ...] = ()

    def store_of(self, keys: list[tuple[bytes, int]]) -> str:
        """Return the address of the cache store that keeps a prefix, empty without one.

        Each prefix has one of the stores, so that together they keep as much as they have room
        for; reading a prefix again costs far more than fetching it from another data centre.
        """
        if not keys:
            return ""
        return max(
            (address for address, _ in self.stores),
            key=lambda address: _hash(keys[-1][0], address),
            default="",
        )


def choose_plain(states, place: Place, now: float) -> Choice | None:
    """Return the endpoint of a plain service that will answer first.

    Args:
      states: Endpoints that may get the request.
      place: Where this gateway stands.
      now: Monotonic seconds.
    """

    def cost(state: endpoints.EndpointState) -> float:
        count, _ = state.load(now)
        latency = state.latency or DEFAULT_LATENCY_SECONDS
        busy = (count + 1) / state.endpoint.slots
        failing = 1 + FAILURE_WEIGHT * state.failure_level(now)
        remote = 0.0 if state.endpoint.data_centre == place.data_centre else REMOTE_SECONDS
        return latency * (1 + busy) * failing + remote + max(0.0, busy - 1) * latency

    best = min(states, key=cost, default=None)
    if best is None:
        return None
    return Choice(best, expected_seconds=cost(best), considered=len(states))


@dataclasses.dataclass(frozen=True)
class Need:
    """What a request needs of a model endpoint.

    Attributes:
      prompt: What it says of its prompt.
      team: Name of an isolated team, empty for the others.
      objective_seconds: Time to its first event.
      least_weights: Oldest version of the weights on which it may still begin.
      fresh_weights: Version that the operator has asked for so long that older ones cost.
      capacity: Requests that one endpoint takes.
      is_backed_up: Whether another endpoint is to get a copy of the run's memory.
      memory: Tokens that running requests may take at one endpoint, 0 for any number.
    """

    prompt: model.Prompt
    team: str
    objective_seconds: float
    least_weights: int
    fresh_weights: int
    capacity: int
    is_backed_up: bool = False
    memory: int = 0


def choose_engine(states, need: Need, place: Place, now: float) -> Choice | None:
    """Return the model endpoint that serves a request best.

    Newer weights go first where they are in time: an answer on older ones is worth less, but a
    late answer is worth less still, so a few endpoints that have just changed do not get all.

    Args:
      states: Endpoints that may get the request.
      need: What the request needs.
      place: Where this gateway stands.
      now: Monotonic seconds.
    """
    name = need.prompt.model
    able = [
        state
        for state in states
        if state.weights.get(name, -1) >= need.least_weights and not state.is_loading(name, now)
    ]
    loads = {state.endpoint.id: state.load(now) for state in able}
    ready = [state for state in able if loads[state.endpoint.id][0] < need.capacity] or able
    if need.memory:
        ready = [state for state in ready if has_room(state, need, now)]
    choices = []
    for weights in {state.weights[name] for state in ready}:
        same = [state for state in ready if state.weights[name] == weights]
        choices.extend(_version_choices(same, loads, weights, need, place, now))
    if not choices:
        return None
    best = min(choices, key=lambda pair: pair[0])[1]
    backup = choose_backup(ready, best, name, now) if need.is_backed_up else None
    return dataclasses.replace(best, considered=len(ready), backup=backup)


def has_room(state: endpoints.EndpointState, need: Need, now: float) -> bool:
    """Return whether a request fits into the memory of an endpoint without preempting another.

    What is preempted has its whole prompt read again. A request that is larger than what is allowed
    goes to an endpoint that has nothing else.
    """
    taken = state.memory(now)
    return not taken or taken + need.prompt.memory_tokens <= need.memory


def choose_backup(ready, best: Choice, name: str, now: float) -> endpoints.EndpointState | None:
    """Return where a copy of the run's memory goes, None when it would take others' room.

    It is the least loaded other endpoint with the same weights, near the first by choice.
    """
    others = [
        state
        for state in ready
        if state is not best.state
        and state.weights[name] == best.weights
        and state.load(now)[0] < BACKUP_SHARE * state.endpoint.slots
    ]

    def cost(state: endpoints.EndpointState) -> tuple[float, bool, str]:
        is_remote = state.endpoint.data_centre != best.state.endpoint.data_centre
        return (round(state.failure_level(now)), is_remote, state.load(now), state.endpoint.id)

    return min(others, key=cost, default=None)


def continuation(choice: Choice) -> Choice:
    """Return the choice that goes on with a run at the endpoint that has a copy of it."""
    tokens = choice.cached_tokens + int(choice.read_tokens)
    return Choice(
        choice.backup, choice.weights, choice.salt, cached_tokens=tokens, is_continuation=True
    )


@dataclasses.dataclass(frozen=True)
class Source:
    """A holder of cached parts that can be fetched now.

    Attributes:
      tokens: Tokens of the longest prefix that it has.
      address: IP number and port.
      data_centre: Where it is.
    """

    tokens: int
    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Prefix:
    """What is known of a prompt's prefix under one version of the weights.

    Attributes:
      salt: Cache salt.
      keys: Key and tokens of each prefix.
      local: Tokens that each endpoint has or is reading, by identity.
      sources: Who has some of it, the longest part first.
      held_tokens: Tokens of the longest part that anyone has or is reading.
      store: Address of the cache store that keeps it, empty for none.
    """

    salt: str
    keys: list[tuple[bytes, int]]
    local: dict[str, int]
    sources: tuple[Source, ...]
    held_tokens: int
    store: str = ""


def _version_choices(states, loads, weights: int, need: Need, place: Place, now: float):
    """Return cost and choice of the endpoints that have the same weights."""
    prefix = describe_prefix(states, weights, need, place, now)
    is_old = weights < need.fresh_weights
    stale = STALE_OBJECTIVES * need.objective_seconds if is_old else 0.0
    for rank, state in shortlist(states, loads, prefix):
        load = loads[state.endpoint.id]
        cost, choice = _engine_choice(state, load, rank, need.prompt, weights, prefix, place, now)
        yield cost + stale, choice


def describe_prefix(states, weights: int, need: Need, place: Place, now: float) -> Prefix:
    """Return what is known of a prompt's prefix.

    Args:
      states: Endpoints with the same weights.
      weights: Version of the weights.
      need: What the request needs.
      place: Where this gateway stands.
      now: Monotonic seconds.
    """
    salt = cache_salt(need.prompt.model, weights, need.team)
    keys = cache_index.prefix_keys(salt, need.prompt.shared_parts)
    local, sources, held = {}, [], 0
    for state in states:
        entry = state.endpoint
        tokens = local[entry.id] = place.index.depth(entry.incarnation, keys, None)
        if tokens:
            ready = place.index.depth(entry.incarnation, keys, now)
            sources.append(Source(ready, entry.address, entry.data_centre))
            held = max(held, tokens)
    for address, data_centre in place.stores:
        sources.append(Source(place.index.depth(address, keys, now), address, data_centre))
        held = max(held, place.index.depth(address, keys, None))
    # Of holders of the same part the one that comes first here is asked; stores are made for it.
    sources.sort(key=lambda source: source.tokens, reverse=True)
    known = tuple(source for source in sources if source.tokens)
    return Prefix(salt, keys, local, known, held, place.store_of(keys))


def shortlist(states, loads, prefix: Prefix):
    """Return place in the hash order and state of the endpoints that are worth an estimate.

    Among many endpoints the best one holds the prefix, is first in the hash order, or is idle; the
    rest is not looked at.
    """
    ranked = list(enumerate(_ranked(states, prefix.keys)))
    if len(ranked) <= ALL_CANDIDATES:
        return ranked

    def load_key(pair):
        count, backlog = loads[pair[1].endpoint.id]
        return (backlog + count * RUNNING_SECONDS * READ_TOKENS_PER_SECOND, pair[0])

    holders = [pair for pair in ranked if prefix.local[pair[1].endpoint.id]]
    holders = heapq.nsmallest(
        SHORT_LIST,
        holders,
        key=lambda pair: (-prefix.local[pair[1].endpoint.id], *load_key(pair)),
    )
    idle = heapq.nsmallest(SHORT_LIST, ranked, key=load_key)
    return list(dict([*holders, *ranked[:SHORT_LIST], *idle]).items())


def _engine_choice(
    state, load, rank, prompt, weights, prefix: Prefix, place: Place, now
) -> tuple[float, Choice]:
    keys = prefix.keys
    entry = state.endpoint
    local = prefix.local[entry.id]
    store = prefix.store
    source, fetched, fetch_seconds = _source(state, prefix, local)
    count, backlog = load
    reading = max(0, prompt.tokens - max(local, fetched))
    seconds = state.slowness * (backlog + reading) / READ_TOKENS_PER_SECOND
    seconds += fetch_seconds + count * RUNNING_SECONDS
    cost = seconds * (1 + state.failure_level(now))
    cost += max(0, prefix.held_tokens - max(local, fetched)) * REREAD_SECONDS_PER_TOKEN
    if not local:
        cost += rank * RANK_SECONDS
    if entry.data_centre != place.data_centre:
        cost += REMOTE_SECONDS
    is_saved = not keys or place.index.holds(store, keys[-1][0])
    choice = Choice(
        state,
        weights,
        prefix.salt,
        fetch_from=source,
        save_to="" if is_saved else store,
        expected_seconds=seconds,
        read_tokens=reading,
        cached_tokens=max(local, fetched),
    )
    return cost, choice


def _source(state, prefix: Prefix, local: int) -> tuple[str, int, float]:
    """Return the address to fetch from, the tokens that it has, and the time that it takes.

    Without a known holder the prefix's cache store is asked all the same: it answers a miss in a
    millisecond, and other gateways may have saved the prefix a moment ago. So it is when the
    endpoint is believed to have the prefix, as it may have evicted it.
    """
    if not prefix.keys:
        return "", 0, 0.0
    best = (prefix.store, 0, 0.0)
    for source in prefix.sources:
        if source.tokens <= local or source.tokens < best[1]:
            break
        if source.address == state.endpoint.address:
            continue
        seconds = _fetch_seconds(state, source.tokens - local, source.data_centre)
        if not best[1] or seconds < best[2]:
            best = (source.address, source.tokens, seconds)
    return best


def _fetch_seconds(state, tokens: int, data_centre: str) -> float:
    is_remote = state.endpoint.data_centre != data_centre
    return tokens / FETCH_TOKENS_PER_SECOND * (REMOTE_FETCH_FACTOR if is_remote else 1.0)


def _ranked(candidates, keys) -> list[endpoints.EndpointState]:
    """Return the endpoints in the order of rendezvous hashing for the longest shared prefix."""
    key = keys[-1][0] if keys else b""
    return sorted(candidates, key=lambda state: _hash(key, state.endpoint.incarnation))


def _hash(key: bytes, name: str) -> bytes:
    return hashlib.blake2b(key + name.encode(), digest_size=8).digest()


def cache_salt(model_name: str, weights: int, team: str) -> str:
    """Return the space in which cached parts are shared.

    Args:
      model_name: Name of the model.
      weights: Version of its weights.
      team: Name of an isolated team, empty for the others.
    """
    return f"{model_name}/{weights}/{team}" if team else f"{model_name}/{weights}"
