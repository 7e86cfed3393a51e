"""Weighted fair queue over teams and priorities, with bounded length."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterator

LOWEST_PRIORITY = 9
PRIORITY_COST_FACTOR = 0.75
SCAN_TICKETS_PER_TEAM = 16


@dataclasses.dataclass(frozen=True)
class Ticket:
    """One waiting request.

    Attributes:
      request_id: Id of the request.
      team: Name of the team.
      weight: Weight of the team.
      priority: 0 (highest) to `LOWEST_PRIORITY`.
      cost: Tokens that the request asks for.
      deadline: Monotonic seconds after which the request is rejected.
      payload: Data that the owner of the queue attaches.
    """

    request_id: str
    team: str
    weight: float
    priority: int
    cost: float
    deadline: float
    payload: object = None


class FairQueue:
    """Start-time fair queueing (Goyal, Vin, Cheng 1996) over teams.

    Within a team, tickets are served by priority. Between teams, the earliest virtual start time
    is served first, so that a team with a long backlog cannot delay the others.

    Args:
      limit: Maximum number of waiting tickets.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.virtual_time = 0.0
        self.virtual_finishes: dict[str, float] = {}
        self.queues: dict[str, list[tuple[int, int, Ticket]]] = {}
        self.virtual_starts: dict[str, float] = {}
        self.sequence = itertools.count()
        self.length = 0
        self.waiting_cost = 0.0

    def __len__(self) -> int:
        return self.length

    def has_space(self, ticket: Ticket) -> bool:
        """Return whether the queue accepts a ticket.

        A full queue still accepts a team that holds less than an equal share of the queue.
        """
        if self.length < self.limit:
            return True
        own_length = len(self.queues.get(ticket.team, ()))
        return own_length < self.limit / (len(self.queues) + 1)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; the caller must have checked `has_space`."""
        queue = self.queues.setdefault(ticket.team, [])
        if not queue:
            self.virtual_starts[ticket.team] = max(
                self.virtual_time, self.virtual_finishes.get(ticket.team, 0.0)
            )
        heapq.heappush(queue, (ticket.priority, next(self.sequence), ticket))
        self.length += 1
        self.waiting_cost += ticket.cost

    def pop_first(self, accept: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the first ticket in fair order that is accepted, None if there is none.

        The first `SCAN_TICKETS_PER_TEAM` tickets of each team are tried, so that a request that
        waits for one endpoint does not block its team's requests for other endpoints.

        Args:
          accept: Called with a ticket; returns whether it can start now.
        """
        for team in sorted(self.queues, key=self.virtual_starts.__getitem__):
            for item in heapq.nsmallest(SCAN_TICKETS_PER_TEAM, self.queues[team]):
                if accept(item[2]):
                    self._remove_first(team, item)
                    return item[2]
        return None

    def _remove_first(self, team: str, item: tuple[int, int, Ticket]) -> None:
        queue = self.queues[team]
        queue.remove(item)
        heapq.heapify(queue)
        ticket = item[2]
        start = self.virtual_starts[team]
        self.virtual_time = max(self.virtual_time, start)
        cost_factor = PRIORITY_COST_FACTOR ** (LOWEST_PRIORITY - ticket.priority)
        self.virtual_finishes[team] = start + ticket.cost * cost_factor / ticket.weight
        self.virtual_starts[team] = self.virtual_finishes[team]
        self._account_removal(team, ticket)

    def _account_removal(self, team: str, ticket: Ticket) -> None:
        self.length -= 1
        self.waiting_cost -= ticket.cost
        if not self.queues[team]:
            del self.queues[team]
            del self.virtual_starts[team]
        if not self.length:
            self.waiting_cost = 0.0
            self._drop_past_finishes()

    def _drop_past_finishes(self) -> None:
        """Drop virtual finish times that have passed and so no longer delay their teams."""
        self.virtual_finishes = {
            t: f for t, f in self.virtual_finishes.items() if f > self.virtual_time
        }

    def remove(self, request_id: str) -> Ticket | None:
        """Remove and return the ticket of a request, None if it has none."""
        for ticket in list(self):
            if ticket.request_id == request_id:
                self._remove_ticket(ticket)
                return ticket
        return None

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed.

        Args:
          now: Monotonic seconds.
        """
        expired = [ticket for ticket in self if ticket.deadline <= now]
        for ticket in expired:
            self._remove_ticket(ticket)
        return expired

    def _remove_ticket(self, ticket: Ticket) -> None:
        queue = self.queues[ticket.team]
        queue[:] = [item for item in queue if item[2] is not ticket]
        heapq.heapify(queue)
        self._account_removal(ticket.team, ticket)

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self.queues.values():
            for item in queue:
                yield item[2]
