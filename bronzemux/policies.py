"""Policies that choose an endpoint: the product's own and baselines for measurements."""

import itertools

import numpy as np

from bronzemux import replicas, routing


class Policy:
    """Interface of policies; an instance belongs to one router."""

    name = ""

    def choose(
        self,
        view: routing.FleetView,
        demand: routing.Requirements,
        overlaps: dict[str, int],
        weights: routing.CostWeights,
    ) -> routing.Choice | None:
        """Return the chosen endpoint, None when none has room.

        Args:
          view: The fleet.
          demand: The request.
          overlaps: Leading pieces held by endpoint.
          weights: Weights of the cost terms.
        """
        raise NotImplementedError


class ReuseAndLoad(Policy):
    """Least expected cost within the replicas of the prompt's first prefix.

    The endpoints are ordered by rendezvous hashing of the first piece; those beyond the replica
    count of the prefix cost more, so that all routers keep a prefix on the same few endpoints.
    """

    name = "reuse-and-load"

    def __init__(self):
        self.replicas = replicas.ReplicaCounts()

    def choose(self, view, demand, overlaps, weights) -> routing.Choice | None:
        """Return the chosen endpoint; it may have no room."""
        if not demand.chain:
            return routing.choose(view, demand, overlaps, weights)
        allowed = demand.allowed & view.available
        key = demand.chain[0]
        ranks = routing.ranks(view, allowed, key)
        count = self.replicas.count(key)
        rank_cost = weights.spread * np.maximum(0.0, ranks - (count - 1))
        choice = routing.choose(view, demand, overlaps, weights, rank_cost)
        if choice is not None:
            self._observe(view, allowed, ranks, key, choice)
        return choice

    def _observe(self, view, allowed, ranks, key: int, choice: routing.Choice) -> None:
        wait = view.wait + view.slot_wait
        limit = int(allowed.sum())
        count = self.replicas.count(key)
        following = np.flatnonzero(ranks == min(count, limit - 1))[0]
        self.replicas.observe(key, wait[choice.position], wait[following], limit, view.now)


class RoundRobin(Policy):
    """Endpoints in turn."""

    name = "round-robin"

    def __init__(self):
        self.counter = itertools.count()

    def choose(self, view, demand, overlaps, weights) -> routing.Choice | None:
        """Return the chosen endpoint, None when none has room."""
        positions = _open_positions(view, demand)
        if not len(positions):
            return None
        return _choice(view, positions[next(self.counter) % len(positions)])


class LeastLoad(Policy):
    """Endpoint with the shortest expected wait, then the most free slots."""

    name = "least-load"

    def choose(self, view, demand, overlaps, weights) -> routing.Choice | None:
        """Return the chosen endpoint, None when none has room."""
        positions = _open_positions(view, demand)
        if not len(positions):
            return None
        order = np.lexsort((-view.room[positions], view.wait[positions]))
        return _choice(view, positions[order[0]])


class Rendezvous(Policy):
    """Weighted rendezvous hash over an upper level of the prompt.

    Args:
      level: Number of the piece whose key is hashed; shorter prompts take their last piece.
    """

    name = "rendezvous"

    def __init__(self, level: int = 40):
        self.level = level

    def choose(self, view, demand, overlaps, weights) -> routing.Choice | None:
        """Return the chosen endpoint, None when none has room."""
        allowed = demand.allowed & view.available & (view.room > 0)
        if not allowed.any():
            return None
        key = demand.chain[min(self.level, len(demand.chain) - 1)] if demand.chain else 0
        return _choice(view, routing.home(view, allowed, key))


def _open_positions(view: routing.FleetView, demand: routing.Requirements) -> np.ndarray:
    return np.flatnonzero(demand.allowed & view.available & (view.room > 0))


def _choice(view: routing.FleetView, position) -> routing.Choice:
    return routing.Choice(int(position), view.names[int(position)], 0)
