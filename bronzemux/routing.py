"""Choice of an endpoint from an immutable view of all endpoints, without I/O, clock or state."""

import dataclasses
import hashlib
import math

import numpy as np

from bronzemux import cache_store

HOME_PROBABILITY = 0.6
REMOTE_DATA_CENTRE_SECONDS = 0.002
MIN_CONFIDENCE = 0.05
MAX_QUEUED_REQUESTS = 50.0


@dataclasses.dataclass(frozen=True)
class FleetView:
    """State of all endpoints at one moment; arrays have one element per endpoint.

    Attributes:
      names: Names of the endpoints.
      name_hashes: Unsigned 64-bit hash of each name, for rendezvous hashing.
      hash_weights: Relative weight of each endpoint in rendezvous hashing.
      rate: Prefill tokens per second.
      wait: Expected seconds before the prefill of a new request starts, once it has a slot.
      slot_wait: Expected seconds before a slot is free; 0 where `free_slots` is above 0.
      queue: Requests that wait for prefill or for a slot.
      free_slots: Free slots; a request starts only where this is above 0.
      available: Whether the endpoint accepts new requests.
      confidence: Fraction of predicted cache reuse that recent responses confirmed, 0 to 1.
      remote: Whether the endpoint is in another data centre.
      now: Monotonic seconds at which the view was taken.
    """

    names: tuple[str, ...]
    name_hashes: np.ndarray
    hash_weights: np.ndarray
    rate: np.ndarray
    wait: np.ndarray
    slot_wait: np.ndarray
    queue: np.ndarray
    free_slots: np.ndarray
    available: np.ndarray
    confidence: np.ndarray
    remote: np.ndarray
    now: float = 0.0


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Requirements of a request.

    Attributes:
      chain: Piece keys of the prompt.
      tokens: Tokens of the prompt.
      piece_tokens: Tokens of one piece.
      allowed: Boolean array, whether an endpoint may serve the request.
      import_offer: Leading pieces that an endpoint may import from the KV cache store.
    """

    chain: tuple[int, ...]
    tokens: int
    piece_tokens: int
    allowed: np.ndarray
    import_offer: cache_store.ImportOffer = cache_store.NO_OFFER


@dataclasses.dataclass(frozen=True)
class CostWeights:
    """Weights of the cost terms, in seconds of cost per second of the term.

    Attributes:
      load: Weight of the expected wait.
      reuse: Weight of the prefill time, multiplied by one plus the number of waiting requests.
      spread: Cost in seconds per rank of an endpoint beyond the replica count of the prefix.
    """

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
      has_free_slot: Whether the request can start now; if not, waiting for this endpoint costs
        less than starting at another one.
      expected_seconds: Expected time to first token once the request has started.
      imported_tokens: Prompt tokens that the endpoint imports faster than it computes them.
      import_offer: What the endpoint may import, set by the caller of the policy.
      variant: Weights version and piece keys of the request, set by the caller of the policy.
    """

    position: int
    endpoint: str
    reused_tokens: int
    has_free_slot: bool = True
    expected_seconds: float = 0.0
    imported_tokens: int = 0
    import_offer: cache_store.ImportOffer = cache_store.NO_OFFER
    variant: object = None


def name_hash(name: str) -> int:
    """Return the 64-bit hash of an endpoint name for rendezvous hashing."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def scores(view: FleetView, key: int) -> np.ndarray:
    """Return the weighted rendezvous score of every endpoint for a key; the highest ranks first.

    Weighted rendezvous hashing (Schindelhauer and Schomaker): the score is
    ``-weight / ln(hash)`` with the hash scaled to (0, 1).

    Args:
      view: The fleet.
      key: Unsigned 64-bit key.
    """
    mixed_hashes = _mix(view.name_hashes ^ np.uint64(key))
    unit_hashes = (mixed_hashes.astype(np.float64) + 1.0) / 18446744073709551617.0
    return -view.hash_weights / np.log(unit_hashes)


def home(view: FleetView, allowed: np.ndarray, key: int) -> int:
    """Return the allowed position with the highest rendezvous score for a key.

    Args:
      view: The fleet.
      allowed: Boolean array of endpoints that may be chosen; at least one is true.
      key: Unsigned 64-bit key.
    """
    return int(np.argmax(np.where(allowed, scores(view, key), -math.inf)))


def ranks(view: FleetView, allowed: np.ndarray, key: int) -> np.ndarray:
    """Return the rank of every endpoint in the rendezvous order of a key, 0 for the first.

    Endpoints that are not allowed rank last.
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
    requirements: Requirements,
    overlaps: dict[str, int],
    cost_weights: CostWeights,
    rank_cost: np.ndarray | float = 0.0,
) -> Choice | None:
    """Choose the endpoint with the least expected cost.

    The cost of an endpoint is the expected wait, the prefill time of the tokens that are not
    cached there, and the delay that this prefill adds to each request that waits there. Pieces
    that no endpoint is known to hold are assumed to be cached, with `HOME_PROBABILITY`, at their
    home, the endpoint that ranks first in the rendezvous order of the first such piece. Routers
    therefore make the same choice without communicating. An endpoint without a free slot may be
    chosen: under overload, a short wait for a cached prefix costs less capacity than a
    recomputation, and sending requests to any endpoint with a free slot would prolong the
    overload.

    Args:
      view: The fleet.
      requirements: Requirements of the request.
      overlaps: Number of leading pieces held, by endpoint name; see
        `prefix_index.PrefixIndex.overlaps`.
      cost_weights: Weights of the cost terms.
      rank_cost: Additional cost of each endpoint, in seconds.

    Returns:
      The choice, or None when no allowed endpoint is available.
    """
    allowed = requirements.allowed & view.available
    if not allowed.any():
        return None
    reused = _expected_reuse(view, requirements, overlaps, allowed)
    compute, imported = _prefill_seconds(view, requirements, reused)
    cost = cost_weights.load * (view.wait + view.slot_wait) + compute
    cost = cost + cost_weights.reuse * compute * (1.0 + np.minimum(view.queue, MAX_QUEUED_REQUESTS))
    cost = cost + view.remote * REMOTE_DATA_CENTRE_SECONDS + rank_cost
    position = int(np.argmin(np.where(allowed, cost, math.inf)))
    return Choice(
        position,
        view.names[position],
        int(reused[position]),
        has_free_slot=bool(view.free_slots[position] > 0),
        expected_seconds=float(view.wait[position] + compute[position]),
        imported_tokens=int(imported[position]),
    )


def _prefill_seconds(
    view: FleetView, requirements: Requirements, reused: np.ndarray
) -> tuple[np.ndarray, np.ndarray]:
    """Return the prefill seconds of a prompt at each endpoint, and the tokens to import there.

    Tokens are imported where that is faster than computing them.

    Args:
      view: The fleet.
      requirements: Requirements of the request.
      reused: Prompt tokens expected in the cache of each endpoint.
    """
    missing = np.maximum(requirements.tokens - reused, 1.0)
    compute = missing / view.rate
    if not requirements.import_offer.pieces:
        return compute, np.zeros(len(reused))
    rate = requirements.import_offer.tokens_per_second
    offered = requirements.import_offer.pieces * requirements.piece_tokens
    imported = np.where(view.rate < rate, np.clip(offered - reused, 0.0, missing), 0.0)
    return imported / rate + (missing - imported) / view.rate, imported


def _expected_reuse(
    view: FleetView, requirements: Requirements, overlaps: dict[str, int], allowed: np.ndarray
) -> np.ndarray:
    """Return the prompt tokens expected in the cache of each endpoint; see `choose`."""
    held = np.fromiter((overlaps.get(name, 0) for name in view.names), float, len(view.names))
    reused = held * view.confidence * requirements.piece_tokens
    deepest = int(held[allowed].max())
    if deepest < len(requirements.chain):
        position = home(view, allowed & (held == deepest), requirements.chain[deepest])
        missing_pieces = len(requirements.chain) - deepest
        reused[position] += HOME_PROBABILITY * missing_pieces * requirements.piece_tokens
    return reused
