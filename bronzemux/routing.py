"""Choice of an endpoint from one snapshot of the fleet; no I/O, clock or state."""

import dataclasses
import hashlib
import math

import numpy as np

HOME_PROBABILITY = 0.6
REMOTE_DATA_CENTRE_SECONDS = 0.002
MIN_CONFIDENCE = 0.05


@dataclasses.dataclass(frozen=True)
class FleetView:
    """State of all endpoints at one moment; arrays have one element an endpoint.

    Attributes:
      names: Names of the endpoints.
      seeds: Hash of each name, unsigned 64-bit, for rendezvous hashing.
      weights: Relative weight of each endpoint in rendezvous hashing.
      rate: Prefill tokens a second.
      wait: Expected seconds before the prefill of a new request starts.
      room: Free slots; a request goes only where this is above 0.
      confidence: Share of predicted reuse that the endpoint confirmed lately, 0 to 1.
      remote: Whether the endpoint is in another data centre.
    """

    names: tuple[str, ...]
    seeds: np.ndarray
    weights: np.ndarray
    rate: np.ndarray
    wait: np.ndarray
    room: np.ndarray
    confidence: np.ndarray
    remote: np.ndarray


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks of an endpoint.

    Attributes:
      chain: Piece keys of the prompt.
      tokens: Tokens of the prompt.
      piece_tokens: Tokens of one piece.
      allowed: Boolean array, whether an endpoint may take the request.
    """

    chain: tuple[int, ...]
    tokens: int
    piece_tokens: int
    allowed: np.ndarray


@dataclasses.dataclass(frozen=True)
class Weights:
    """Weights of the cost terms, in seconds of delay for one second of the term."""

    load: float = 1.0
    reuse: float = 1.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """Chosen endpoint.

    Attributes:
      position: Position in the view.
      endpoint: Name.
      reused_tokens: Prompt tokens expected in its cache.
    """

    position: int
    endpoint: str
    reused_tokens: int


def endpoint_seed(name: str) -> int:
    """Return the 64-bit hash of an endpoint name for rendezvous hashing."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def home(view: FleetView, allowed: np.ndarray, key: int) -> int:
    """Return the position with the highest weighted rendezvous score for a key.

    Weighted rendezvous hashing after Schindelhauer and Schomaker: the score is
    ``-weight / ln(hash)`` with the hash scaled to (0, 1).

    Args:
      view: The fleet.
      allowed: Boolean array of endpoints that may be chosen; at least one is true.
      key: Unsigned 64-bit key.
    """
    mixed = _mix(view.seeds ^ np.uint64(key))
    unit = (mixed.astype(np.float64) + 1.0) / 18446744073709551617.0
    score = np.where(allowed, -view.weights / np.log(unit), -math.inf)
    return int(np.argmax(score))


def _mix(values: np.ndarray) -> np.ndarray:
    """Return the splitmix64 finalizer (Steele, Lea, Flood 2014) of each value."""
    values = (values ^ (values >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
    values = (values ^ (values >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
    return values ^ (values >> np.uint64(31))


def choose(
    view: FleetView, demand: Demand, overlaps: dict[str, int], weights: Weights
) -> Choice | None:
    """Choose the endpoint with the least expected cost.

    The cost of an endpoint is the expected wait, the prefill time of the tokens that are not
    cached there, and a penalty for recomputing them. Pieces that no endpoint is known to hold
    are assumed, with `HOME_PROBABILITY`, at the rendezvous home of the first such piece, so that
    routers that do not talk to each other choose alike.

    Args:
      view: The fleet.
      demand: The request.
      overlaps: Leading pieces held by endpoint, from `index.PrefixIndex.overlaps`.
      weights: Weights of the cost terms.

    Returns:
      The choice, or None when no allowed endpoint has room.
    """
    open_mask = demand.allowed & (view.room > 0)
    if not open_mask.any():
        return None
    reused = _expected_reuse(view, demand, overlaps)
    missing = np.maximum(demand.tokens - reused, 1.0)
    mean_rate = view.rate[demand.allowed].mean()
    cost = weights.load * view.wait + missing / view.rate
    cost = cost + weights.reuse * missing / mean_rate
    cost = cost + view.remote * REMOTE_DATA_CENTRE_SECONDS
    position = int(np.argmin(np.where(open_mask, cost, math.inf)))
    return Choice(position, view.names[position], int(reused[position]))


def _expected_reuse(view: FleetView, demand: Demand, overlaps: dict[str, int]) -> np.ndarray:
    held = np.fromiter((overlaps.get(name, 0) for name in view.names), float, len(view.names))
    reused = held * view.confidence * demand.piece_tokens
    deepest = max(overlaps.get(view.names[i], 0) for i in np.flatnonzero(demand.allowed))
    if deepest < len(demand.chain):
        position = home(view, demand.allowed, demand.chain[deepest])
        rest = len(demand.chain) - held[position]
        reused[position] += HOME_PROBABILITY * rest * demand.piece_tokens
    return reused
