"""Choice of the endpoint for a request: pure functions of the state of the endpoints.

An engine is a model endpoint; a plain service is one without engines. For an engine, the time to
the first token is estimated: the prefill backlog there, the prefill of the prompt tokens that are
not cached, and the transfer of the cached ones from their holder.
"""

import collections
import hashlib
import heapq
import typing

from bronzemux import records
from bronzemux.gateway import cache_index, endpoints, model

# Prefill rate of an endpoint of normal speed. Only its ratio to the transfer rate matters, as the
# slowdown of each endpoint is measured.
PREFILL_TOKENS_PER_SECOND = 40_000.0
# 180 Gbit/s at 164 kB of KV cache per token.
FETCH_TOKENS_PER_SECOND = 137_000.0
# Transfers between data centres take twice as long.
REMOTE_FETCH_FACTOR = 2.0
# Each running request slows the others by about a tenth of an engine step.
RUNNING_REQUEST_SECONDS = 0.0006
# Cost of each rank in the order of rendezvous hashing, for a prefix that the endpoint does not
# hold. Routers thus agree on the first endpoint, and prefer the next one when the first has about
# two mean prompts more to prefill.
HASH_RANK_SECONDS = 0.05
# Cost, besides the prefill time, of recomputing a prefix that is cached elsewhere: in the price
# sheets, 1000 tokens cost about a third of a late response, which corresponds to 0.2 s of a
# stream's objective.
RECOMPUTE_SECONDS_PER_TOKEN = 0.2 / 1000
# Up to SHORTLIST_THRESHOLD_ENDPOINTS endpoints are all estimated. Of more, only SHORTLIST_SIZE
# holders of the prefix, as many endpoints with the lowest hash ranks, and as many with the least
# load are estimated: a higher rank costs more than half an objective.
SHORTLIST_THRESHOLD_ENDPOINTS = 12
SHORTLIST_SIZE = 5
# Endpoints with at least this fraction of their slots taken need their memory for requests; a KV
# backup there would cause running requests to be preempted.
MAX_BACKUP_SLOT_FRACTION = 0.25
# Traffic between data centres costs little compared with a late response.
REMOTE_COST_SECONDS = 0.002
# Each recent failure adds this multiple of the latency to the cost.
FAILURE_WEIGHT = 2.0
# Latency of a plain endpoint that has not served a request yet.
DEFAULT_LATENCY_SECONDS = 0.05
# Cost of replaced weights, in objectives: a response on them loses a fifth of its value, a late one
# about 0.7 of it.
STALE_WEIGHTS_COST_OBJECTIVES = 0.2 / 0.7


@records.record
class Choice:
    """Endpoint chosen for a request, and how it is to be served there.

    Attributes:
      state: The endpoint.
      weights: Version that must be loaded there, None for a plain service.
      salt: Cache salt, empty for a plain service.
      fetch_from: Address from which the cached prefix is fetched, empty for none.
      save_to: Address of the cache store that is to save the prefix, empty for none.
      expected_seconds: Estimated time to the first event; to the response of a plain service.
      prefill_tokens: Prompt tokens that have to be computed.
      cached_tokens: Prompt tokens that are assumed to be cached there, or to be fetched.
      candidate_count: Endpoints that were eligible.
      backup: Endpoint that gets a backup of the request's KV cache, None for none.
      is_continuation: Whether the request continues from the KV backup that the endpoint has.
    """

    state: endpoints.EndpointState
    weights: int | None = None
    salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    expected_seconds: float = 0.0
    prefill_tokens: float = 0.0
    cached_tokens: int = 0
    candidate_count: int = 0
    backup: endpoints.EndpointState | None = None
    is_continuation: bool = False


@records.record
class GatewayView:
    """State of a gateway that placement uses besides the endpoints.

    Attributes:
      data_centre: Data centre of the gateway.
      index: Index of cached prefixes.
      stores: Address and data centre of each cache store that is up.
    """

    data_centre: str
    index: cache_index.CacheIndex
    stores: tuple[tuple[str, str], ...] = ()

    def store_of(self, keys: list[tuple[bytes, int]]) -> str:
        """Return the address of the cache store for a prefix, empty without a cache store.

        Each prefix is saved in one store only, chosen by rendezvous hashing, so that the stores
        together hold as many prefixes as they can: computing a prefix again costs far more than
        fetching it from another data centre.

        Args:
          keys: Key and tokens of each prefix of the prompt, the shortest first.
        """
        if not keys:
            return ""
        return max(
            (address for address, _ in self.stores),
            key=lambda address: hash_rank(keys[-1][0], address.encode()),
            default="",
        )


def choose_plain(states, view: GatewayView, now: float) -> Choice | None:
    """Return the endpoint of a plain service that is expected to respond first.

    Args:
      states: Endpoints that may get the request.
      view: State of this gateway besides the endpoints.
      now: Monotonic seconds.
    """

    def cost(state: endpoints.EndpointState) -> float:
        count, _ = state.load(now)
        latency = state.latency_seconds or DEFAULT_LATENCY_SECONDS
        utilisation = (count + 1) / state.endpoint.slots
        failure_factor = 1 + FAILURE_WEIGHT * state.failure_level(now)
        remote = 0.0 if state.endpoint.data_centre == view.data_centre else REMOTE_COST_SECONDS
        return (
            latency * (1 + utilisation) * failure_factor
            + remote
            + max(0.0, utilisation - 1) * latency
        )

    best = min(states, key=cost, default=None)
    if best is None:
        return None
    return Choice(best, expected_seconds=cost(best), candidate_count=len(states))


@records.record
class Requirements:
    """What a request requires of a model endpoint.

    Attributes:
      prompt: Description of its prompt.
      namespace: Namespace of the prompt parts of its team.
      objective_seconds: Objective for the time to its first event.
      min_weights: Oldest version of the weights on which it may still start.
      current_weights: Version below which weights are stale, so that using them has a cost.
      max_requests: Requests that one endpoint takes, those in its queue included.
      needs_backup: Whether another endpoint is to get a backup of the request's KV cache.
      max_memory_tokens: KV memory that requests may take at one endpoint, 0 for no limit.
    """

    prompt: model.Prompt
    namespace: str
    objective_seconds: float
    min_weights: int
    current_weights: int
    max_requests: int
    needs_backup: bool = False
    max_memory_tokens: int = 0


def choose_engine(
    states, requirements: Requirements, view: GatewayView, now: float
) -> Choice | None:
    """Return the model endpoint with the lowest cost for a request, None if none is eligible.

    Newer weights are preferred where they meet the objective. A response on older weights is worth
    less, but a late response is worth even less, so the first few endpoints with new weights do not
    get all requests.

    Args:
      states: Endpoints that may get the request.
      requirements: What the request requires of an endpoint.
      view: State of this gateway besides the endpoints.
      now: Monotonic seconds.
    """
    name = requirements.prompt.model
    loads, loaded, eligible = {}, [], []
    for state in states:
        if state.weights.get(name, -1) < requirements.min_weights:
            continue
        if state.loading and state.is_loading(name, now):
            continue
        load = loads[state.endpoint.id] = state.all_loads(now)
        loaded.append(state)
        if load[0] < requirements.max_requests:
            eligible.append(state)
    eligible = eligible or loaded
    if requirements.max_memory_tokens:
        eligible = [
            state for state in eligible if has_memory(loads[state.endpoint.id][3], requirements)
        ]
    estimates = []
    by_weights = collections.defaultdict(list)
    for state in eligible:
        by_weights[state.weights[name]].append(state)
    for weights, same in by_weights.items():
        estimates.extend(_version_estimates(same, loads, weights, requirements, view, now))
    if not estimates:
        return None
    best = min(estimates, key=lambda estimate: estimate.cost)
    backup = None
    if requirements.needs_backup:
        backup = choose_backup(eligible, best.state, best.weights, name, now)
    prefix = best.prefix
    is_saved = not prefix.keys or view.index.holds(prefix.store, prefix.keys[-1][0])
    return Choice(
        best.state,
        best.weights,
        prefix.salt,
        fetch_from=best.fetch_from,
        save_to="" if is_saved else prefix.store,
        expected_seconds=best.seconds,
        prefill_tokens=max(0, requirements.prompt.tokens - best.cached_tokens),
        cached_tokens=best.cached_tokens,
        candidate_count=len(eligible),
        backup=backup,
    )


def has_memory(taken: int, requirements: Requirements) -> bool:
    """Return whether a request fits into the memory of an endpoint without preempting another.

    The whole prompt of a preempted request has to be prefilled again. A request that is larger than
    the limit goes to an endpoint that has no other requests.

    Args:
      taken: Most tokens that the requests there can take.
      requirements: What the request requires of an endpoint.
    """
    return not taken or taken + requirements.prompt.memory_tokens <= requirements.max_memory_tokens


def choose_backup(
    candidates, chosen: endpoints.EndpointState, weights: int, name: str, now: float
) -> endpoints.EndpointState | None:
    """Return the endpoint that gets a backup of the request's KV cache.

    It is another endpoint with the same weights and software. Those with the fewest failures are preferred, then
    those in the same data centre, then the least loaded one.

    Args:
      candidates: Endpoints that may get it.
      chosen: Endpoint chosen for the request.
      weights: Version of the weights there.
      name: Name of the model.
      now: Monotonic seconds.

    Returns:
      The endpoint, None when a backup would take memory that requests need.
    """
    others = [
        state
        for state in candidates
        if state is not chosen
        and state.weights[name] == weights
        and state.endpoint.software == chosen.endpoint.software
        and state.load(now)[0] < MAX_BACKUP_SLOT_FRACTION * state.endpoint.slots
    ]

    def cost(state: endpoints.EndpointState) -> tuple[float, bool, str]:
        is_remote = state.endpoint.data_centre != chosen.endpoint.data_centre
        return (round(state.failure_level(now)), is_remote, state.load(now), state.endpoint.id)

    return min(others, key=cost, default=None)


def continuation(choice: Choice) -> Choice:
    """Return the choice that continues a request at the endpoint that has its KV backup."""
    tokens = choice.cached_tokens + int(choice.prefill_tokens)
    return Choice(
        choice.backup, choice.weights, choice.salt, cached_tokens=tokens, is_continuation=True
    )


@records.record
class PrefixHolder:
    """An endpoint or cache store from which a cached prefix can be fetched now.

    Attributes:
      tokens: Tokens of the longest prefix that it has.
      address: IP address and port.
      data_centre: Its data centre.
    """

    tokens: int
    address: str
    data_centre: str


@records.record
class PrefixInfo:
    """Where the prefixes of a prompt are cached for one version of the weights.

    Attributes:
      salt: Cache salt.
      keys: Key and tokens of each prefix, the shortest first.
      local_tokens: Tokens that each endpoint has or is computing, by identity.
      holders: Holders of a prefix that can be fetched, the longest prefix first.
      longest_tokens: Tokens of the longest prefix that any holder has or is computing.
      store: Address of the cache store for the longest prefix, empty for none.
    """

    salt: str
    keys: list[tuple[bytes, int]]
    local_tokens: dict[str, int]
    holders: tuple[PrefixHolder, ...]
    longest_tokens: int
    store: str = ""


class Estimate(typing.NamedTuple):
    """Estimated cost of serving a request at one endpoint.

    Attributes:
      cost: Cost in seconds.
      seconds: Estimated time to the first event.
      state: The endpoint.
      weights: Version that must be loaded there.
      prefix: Where the prefixes of the prompt are cached.
      fetch_from: Address from which the cached prefix is fetched, empty for none.
      cached_tokens: Prompt tokens that are assumed to be cached there, or to be fetched.
    """

    cost: float
    seconds: float
    state: endpoints.EndpointState
    weights: int
    prefix: PrefixInfo
    fetch_from: str
    cached_tokens: int


def _version_estimates(
    states, loads, weights: int, requirements: Requirements, view: GatewayView, now: float
):
    """Yield the estimate of each shortlisted endpoint, all with the same weights."""
    prefix = describe_prefix(states, weights, requirements, view, now)
    is_old = weights < requirements.current_weights
    stale = STALE_WEIGHTS_COST_OBJECTIVES * requirements.objective_seconds if is_old else 0.0
    for hash_rank, state in shortlist(states, loads, prefix):
        cost, seconds, fetch_from, cached_tokens = _estimate(
            state, loads[state.endpoint.id], hash_rank, requirements.prompt, prefix, view
        )
        yield Estimate(cost + stale, seconds, state, weights, prefix, fetch_from, cached_tokens)


def describe_prefix(
    states, weights: int, requirements: Requirements, view: GatewayView, now: float
) -> PrefixInfo:
    """Return where the prefixes of a prompt are cached.

    Args:
      states: Endpoints with the same weights.
      weights: Version of the weights.
      requirements: What the request requires of an endpoint.
      view: State of this gateway besides the endpoints.
      now: Monotonic seconds.
    """
    salt = cache_salt(requirements.prompt.model, weights, requirements.namespace)
    keys = cache_index.prefix_keys(salt, requirements.prompt.shared_parts)
    known_holders = [(view.index.holders_of(key), tokens) for key, tokens in keys]
    local_tokens, holders, longest_tokens = {}, [], 0
    for state in states:
        entry = state.endpoint
        incarnation = entry.incarnation
        tokens = 0
        for names, prefix_tokens in known_holders:
            if incarnation in names:
                tokens = prefix_tokens
        local_tokens[entry.id] = tokens
        if tokens:
            ready_tokens = view.index.longest_match(incarnation, keys, now)
            holders.append(PrefixHolder(ready_tokens, entry.address, entry.data_centre))
            longest_tokens = max(longest_tokens, tokens)
    for address, data_centre in view.stores:
        holders.append(
            PrefixHolder(view.index.longest_match(address, keys, now), address, data_centre)
        )
        longest_tokens = max(longest_tokens, view.index.longest_match(address, keys, None))
    # The sort is stable: of holders of the same prefix with equal transfer times, the first one is
    # used. Cache stores exist to serve such fetches.
    holders.sort(key=lambda holder: holder.tokens, reverse=True)
    fetchable = tuple(holder for holder in holders if holder.tokens)
    return PrefixInfo(salt, keys, local_tokens, fetchable, longest_tokens, view.store_of(keys))


def shortlist(states, loads, prefix: PrefixInfo):
    """Return the hash rank and the state of each endpoint whose cost is to be estimated.

    With many endpoints, only those that hold the prefix, have a low hash rank or have little load
    can be the best one.

    Args:
      states: Endpoints with the same weights.
      loads: Tuples by identity of the endpoint; the first two entries are its requests and the
        prompt tokens to prefill.
      prefix: Where the prefixes of the prompt are cached.
    """
    ranked = list(enumerate(_ranked(states, prefix.keys)))
    if len(ranked) <= SHORTLIST_THRESHOLD_ENDPOINTS:
        return ranked

    tokens_per_request = RUNNING_REQUEST_SECONDS * PREFILL_TOKENS_PER_SECOND

    def load_key(pair):
        load = loads[pair[1].endpoint.id]
        return (load[1] + load[0] * tokens_per_request, pair[0])

    holders = [pair for pair in ranked if prefix.local_tokens[pair[1].endpoint.id]]
    holders = heapq.nsmallest(
        SHORTLIST_SIZE,
        holders,
        key=lambda pair: (-prefix.local_tokens[pair[1].endpoint.id], *load_key(pair)),
    )
    idle = heapq.nsmallest(SHORTLIST_SIZE, ranked, key=load_key)
    return list(dict([*holders, *ranked[:SHORTLIST_SIZE], *idle]).items())


def _estimate(
    state, load, hash_rank: int, prompt: model.Prompt, prefix: PrefixInfo, view: GatewayView
) -> tuple[float, float, str, int]:
    """Return the first fields of an `Estimate`, without the endpoint: cost, seconds, address, tokens.

    Args:
      state: The endpoint.
      load: Result of its method `all_loads`.
      hash_rank: Its rank in the order of rendezvous hashing.
      prompt: The prompt.
      prefix: Where the prefixes of the prompt are cached.
      view: State of this gateway besides the endpoints.
    """
    entry = state.endpoint
    local_tokens = prefix.local_tokens[entry.id]
    address, fetched_tokens, fetch_seconds = _best_holder(state, prefix, local_tokens)
    count, backlog, failures, _ = load
    cached_tokens = max(local_tokens, fetched_tokens)
    prefill_tokens = max(0, prompt.tokens - cached_tokens)
    seconds = state.slowdown * (backlog + prefill_tokens) / PREFILL_TOKENS_PER_SECOND
    seconds += fetch_seconds + count * RUNNING_REQUEST_SECONDS
    cost = seconds * (1 + failures)
    cost += max(0, prefix.longest_tokens - cached_tokens) * RECOMPUTE_SECONDS_PER_TOKEN
    if not local_tokens:
        cost += hash_rank * HASH_RANK_SECONDS
    if entry.data_centre != view.data_centre:
        cost += REMOTE_COST_SECONDS
    return cost, seconds, address, cached_tokens


def _best_holder(state, prefix: PrefixInfo, local_tokens: int) -> tuple[str, int, float]:
    """Return the address to fetch from, the tokens that it has, and the transfer time in seconds.

    Without a known holder it is the address of the cache store, which answers a miss in a
    millisecond: another gateway may have just saved the prefix there. The same holds when the
    endpoint is assumed to have the prefix, as it may have evicted it.
    """
    if not prefix.keys:
        return "", 0, 0.0
    best = (prefix.store, 0, 0.0)
    for holder in prefix.holders:
        if holder.tokens <= local_tokens or holder.tokens < best[1]:
            break
        if holder.address == state.endpoint.address:
            continue
        seconds = _fetch_seconds(state, holder.tokens - local_tokens, holder.data_centre)
        if not best[1] or seconds < best[2]:
            best = (holder.address, holder.tokens, seconds)
    return best


def _fetch_seconds(state, tokens: int, data_centre: str) -> float:
    is_remote = state.endpoint.data_centre != data_centre
    return tokens / FETCH_TOKENS_PER_SECOND * (REMOTE_FETCH_FACTOR if is_remote else 1.0)


def _ranked(candidates, keys) -> list[endpoints.EndpointState]:
    """Return the endpoints in the order of rendezvous hashing of the longest shared prefix."""
    key = keys[-1][0] if keys else b""
    return sorted(candidates, key=lambda state: hash_rank(key, state.hash_name))


def hash_rank(key: bytes, name: bytes) -> bytes:
    """Return the sort key of a name in the order of rendezvous hashing of a key."""
    return hashlib.blake2b(key + name, digest_size=8).digest()


def cache_salt(model_name: str, weights: int, namespace: str) -> str:
    """Return the cache salt: requests share cached prefixes only under the same salt.

    Args:
      model_name: Name of the model.
      weights: Version of its weights.
      namespace: Namespace of the prompt parts, see `cache_index.namespace_of`.
    """
    return f"{model_name}/{weights}/{namespace}" if namespace else f"{model_name}/{weights}"
