"""Choice of an endpoint from one snapshot of the fleet; no I/O, clock or state."""

import dataclasses
import hashlib
import math

import numpy as np

from bronzemux import cache_store

HOME_PROBABILITY = 0.6
REMOTE_DATA_CENTRE_SECONDS = 0.002
MIN_CONFIDENCE = 0.05
MAX_QUEUE = 50.0


@dataclasses.dataclass(frozen=True)
class FleetView:
    """State of all endpoints at one moment; arrays have one element an endpoint.

    Attributes:
      names: Names of the endpoints.
      seeds: Hash of each name, unsigned 64-bit, for rendezvous hashing.
      weights: Relative weight of each endpoint in rendezvous hashing.
      rate: Prefill tokens a second.
      wait: Expected seconds before the prefill of a new request starts, once it has a slot.
      slot_wait: Expected seconds before a slot is free; 0 where `room` is above 0.
      queue: Requests that wait for their prompt to be computed or for a slot.
      room: Free slots; a request starts only where this is above 0.
      available: Whether new work is allowed.
      confidence: Share of predicted reuse that the endpoint confirmed lately, 0 to 1.
      remote: Whether the endpoint is in another data centre.
      now: Monotonic seconds of the view.
    """

    names: tuple[str, ...]
    seeds: np.ndarray
    weights: np.ndarray
    rate: np.ndarray
    wait: np.ndarray
    slot_wait: np.ndarray
    queue: np.ndarray
    room: np.ndarray
    available: np.ndarray
    confidence: np.ndarray
    remote: np.ndarray
    now: float = 0.0


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request asks of an endpoint.

    Attributes:
      chain: Piece keys of the prompt.
      tokens: Tokens of the prompt.
      piece_tokens: Tokens of one piece.
      allowed: Boolean array, whether an endpoint may take the request.
      stored: Leading pieces that an endpoint may import.
    """

    chain: tuple[int, ...]
    tokens: int
    piece_tokens: int
    allowed: np.ndarray
    stored: cache_store.Stored = cache_store.NOTHING


@dataclasses.dataclass(frozen=True)
class CostWeights:
    """Weights of the cost terms, in seconds of delay for one second of the term."""

    load: float = 1.0
    reuse: float = 2.0
    spread: float = 2.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """Chosen endpoint.

    Attributes:
      position: Position in the view.
      endpoint: Name.
      reused_tokens: Prompt tokens expected in its cache.
      has_room: Whether it can start now; if not, the request had better wait for it.
      seconds: Expected time to the first token once it has started.
      imported_tokens: Prompt tokens that it had better import than compute.
      stored: What the endpoint may import, attached by the caller of the policy.
      variant: Attached by the caller of the policy.
    """

    position: int
    endpoint: str
    reused_tokens: int
    has_room: bool = True
    seconds: float = 0.0
    imported_tokens: int = 0
    stored: cache_store.Stored = cache_store.NOTHING
    variant: object = None


def endpoint_seed(name: str) -> int:
    """Return the 64-bit hash of an endpoint name for rendezvous hashing."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def scores(view: FleetView, key: int) -> np.ndarray:
    """Return the weighted rendezvous score of every endpoint for a key; the highest is first.

    Weighted rendezvous hashing after Schindelhauer and Schomaker: the score is
    ``-weight / ln(hash)`` with the hash scaled to (0, 1).

    Args:
      view: The fleet.
      key: Unsigned 64-bit key.
    """
    mixed = _mix(view.seeds ^ np.uint64(key))
    unit = (mixed.astype(np.float64) + 1.0) / 18446744073709551617.0
    return -view.weights / np.log(unit)


def home(view: FleetView, allowed: np.ndarray, key: int) -> int:
    """Return the allowed position with the highest rendezvous score for a key.

    Args:
      view: The fleet.
      allowed: Boolean array of endpoints that may be chosen; at least one is true.
      key: Unsigned 64-bit key.
    """
    return int(np.argmax(np.where(allowed, scores(view, key), -math.inf)))


def ranks(view: FleetView, allowed: np.ndarray, key: int) -> np.ndarray:
    """Return the place of every endpoint in the rendezvous order of a key, 0 for the first.

    Endpoints that are not allowed come last.
    """
    order = np.argsort(-np.where(allowed, scores(view, key), -math.inf), kind="stable")
    result = np.empty(len(order))
    result[order] = np.arange(len(order))
    return result


def _mix(values: np.ndarray) -> np.ndarray:
    """Return the splitmix64 finalizer (Steele, Lea, Flood 2014) of each value."""
    values = (values ^ (values >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    values = (values ^ (values >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return values ^ (values >> np.uint64(31))


def choose(
    view: FleetView,
    demand: Requirements,
    overlaps: dict[str, int],
    weights: CostWeights,
    rank_cost: np.ndarray | float = 0.0,
) -> Choice | None:
    """Choose the endpoint with the least expected cost.

    The cost of an endpoint is the expected wait, the prefill time of the tokens that are not
    cached there, and the delay that this prefill adds to each request that waits there. Pieces
    that no endpoint is known to hold are assumed, with `HOME_PROBABILITY`, at the rendezvous home of the first such piece, so that
    routers that do not talk to each other choose alike. An endpoint without room may be chosen:
    under overload, a short wait for a cached prefix costs the fleet less than a recomputation,
    and sending work to whatever endpoint has room would keep the overload up.

    Args:
      view: The fleet.
      demand: The request.
      overlaps: Leading pieces held by endpoint, from `prefix_index.PrefixIndex.overlaps`.
      weights: Weights of the cost terms.
      rank_cost: Further seconds for each endpoint.

    Returns:
      The choice, or None when no allowed endpoint is available.
    """
    allowed = demand.allowed & view.available
    if not allowed.any():
        return None
    reused = _expected_reuse(view, demand, overlaps, allowed)
    compute, imported = _prefill_seconds(view, demand, reused)
    cost = weights.load * (view.wait + view.slot_wait) + compute
    cost = cost + weights.reuse * compute * (1.0 + np.minimum(view.queue, MAX_QUEUE))
    cost = cost + view.remote * REMOTE_DATA_CENTRE_SECONDS + rank_cost
    position = int(np.argmin(np.where(allowed, cost, math.inf)))
    return Choice(
        position,
        view.names[position],
        int(reused[position]),
        has_room=bool(view.room[position] > 0),
        seconds=float(view.wait[position] + compute[position]),
        imported_tokens=int(imported[position]),
    )


def _prefill_seconds(
    view: FleetView, demand: Requirements, reused: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    """Return the seconds that a prompt takes at each endpoint, and the tokens to import there.

    Tokens are imported where that is faster than computing them.

    Args:
      view: The fleet.
      demand: The request.
      reused: Tokens expected in the cache of each endpoint.
    """
    missing = np.maximum(demand.tokens - reused, 1.0)
    compute = missing / view.rate
    if not demand.stored.pieces:
        return compute, np.zeros(len(reused))
    rate = demand.stored.tokens_per_second
    stored = demand.stored.pieces * demand.piece_tokens
    imported = np.where(view.rate < rate, np.clip(stored - reused, 0.0, missing), 0.0)
    return imported / rate + (missing - imported) / view.rate, imported


def _expected_reuse(
    view: FleetView, demand: Requirements, overlaps: dict[str, int], allowed: np.ndarray
) -> np.ndarray:
    held = np.fromiter((overlaps.get(name, 0) for name in view.names), float, len(view.names))
    reused = held * view.confidence * demand.piece_tokens
    deepest = int(held[allowed].max())
    if deepest < len(demand.chain):
        position = home(view, allowed & (held == deepest), demand.chain[deepest])
        rest = len(demand.chain) - deepest
        reused[position] += HOME_PROBABILITY * rest * demand.piece_tokens
    return reused
