"""Routing policies: the one used in production and baselines to compare it with."""

import itertools

import numpy as np

from bronzemux import replicas, routing


class Policy:
    """Base class of routing policies; each router has an instance of its own."""

    name = ""

    def choose(
        self,
        view: routing.FleetView,
        requirements: routing.Requirements,
        overlaps: dict[str, int],
        cost_weights: routing.CostWeights,
    ) -> routing.Choice | None:
        """Choose an endpoint.

        Args:
          view: The fleet.
          requirements: Requirements of the request.
          overlaps: Number of leading pieces held, by endpoint name.
          cost_weights: Weights of the cost terms.

        Returns:
          The choice, or None when no endpoint can be chosen.
        """
        raise NotImplementedError


class ReuseAndLoad(Policy):
    """Endpoint with the least expected cost, with a preference for the replicas of the prefix.

    The endpoints are ranked by rendezvous hashing of the first piece. Ranks beyond the replica
    count of the prefix cost more, so that all routers keep a prefix on the same few endpoints.
    """

    name = "reuse-and-load"

    def __init__(self):
        self.replicas = replicas.ReplicaCounts()

    def choose(self, view, requirements, overlaps, cost_weights) -> routing.Choice | None:
        """Return the endpoint with the least cost, which may have no free slot."""
        if not requirements.chain:
            return routing.choose(view, requirements, overlaps, cost_weights)
        allowed = requirements.allowed & view.available
        key = requirements.chain[0]
        ranks = routing.ranks(view, allowed, key)
        count = self.replicas.count(key)
        rank_cost = cost_weights.spread * np.maximum(0.0, ranks - (count - 1))
        choice = routing.choose(view, requirements, overlaps, cost_weights, rank_cost)
        if choice is not None:
            self._observe(view, allowed, ranks, key, choice)
        return choice

    def _observe(self, view, allowed, ranks, key: int, choice: routing.Choice) -> None:
        wait = view.wait + view.slot_wait
        limit = int(allowed.sum())
        count = self.replicas.count(key)
        next_position = np.flatnonzero(ranks == min(count, limit - 1))[0]
        self.replicas.observe(key, wait[choice.position], wait[next_position], limit, view.now)


class RoundRobin(Policy):
    """Endpoints with a free slot, in turn."""

    name = "round-robin"

    def __init__(self):
        self.counter = itertools.count()

    def choose(self, view, requirements, overlaps, cost_weights) -> routing.Choice | None:
        """Return the chosen endpoint, or None when none has a free slot."""
        positions = _positions_with_free_slot(view, requirements)
        if not len(positions):
            return None
        return _choice(view, positions[next(self.counter) % len(positions)])


class LeastLoad(Policy):
    """Endpoint with the shortest expected wait; ties go to the one with the most free slots."""

    name = "least-load"

    def choose(self, view, requirements, overlaps, cost_weights) -> routing.Choice | None:
        """Return the chosen endpoint, or None when none has a free slot."""
        positions = _positions_with_free_slot(view, requirements)
        if not len(positions):
            return None
        order = np.lexsort((-view.free_slots[positions], view.wait[positions]))
        return _choice(view, positions[order[0]])


class Rendezvous(Policy):
    """Weighted rendezvous hashing of a prefix of the prompt.

    Args:
      level: Position of the piece whose key is hashed; shorter prompts use their last piece.
    """

    name = "rendezvous"

    def __init__(self, level: int = 40):
        self.level = level

    def choose(self, view, requirements, overlaps, cost_weights) -> routing.Choice | None:
        """Return the chosen endpoint, or None when none has a free slot."""
        allowed = requirements.allowed & view.available & (view.free_slots > 0)
        if not allowed.any():
            return None
        key = (
            requirements.chain[min(self.level, len(requirements.chain) - 1)]
            if requirements.chain
            else 0
        )
        return _choice(view, routing.home(view, allowed, key))


def _positions_with_free_slot(
    view: routing.FleetView, requirements: routing.Requirements
) -> np.ndarray:
    return np.flatnonzero(requirements.allowed & view.available & (view.free_slots > 0))


def _choice(view: routing.FleetView, position) -> routing.Choice:
    return routing.Choice(int(position), view.names[int(position)], 0)
