"""Weighted fair queue over teams and priorities with bounded length."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterator

LOWEST_PRIORITY = 9
PRIORITY_DISCOUNT = 0.75
SCAN_DEPTH = 16


@dataclasses.dataclass(frozen=True)
class Ticket:
    """One waiting request.

    Attributes:
      request_id: Id of the request.
      team: Name of the team.
      weight: Weight of the team.
      priority: 0 (first) to `LOWEST_PRIORITY`.
      cost: Tokens that the request asks for.
      deadline: Monotonic seconds after which the request is useless.
      payload: What the owner of the queue attaches.
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

    Within a team, tickets of a better priority go first. Between teams, the virtual start time
    decides, so that a team with much waiting work cannot delay the others.

    Args:
      limit: Maximum number of waiting tickets.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.virtual_time = 0.0
        self.finish: dict[str, float] = {}
        self.queues: dict[str, list[tuple[int, int, Ticket]]] = {}
        self.starts: dict[str, float] = {}
        self.counter = itertools.count()
        self.length = 0
        self.waiting_cost = 0.0

    def __len__(self) -> int:
        return self.length

    def has_space(self, ticket: Ticket) -> bool:
        """Return whether a ticket fits.

        A full queue still accepts a team that holds less than its equal share of the queue.
        """
        if self.length < self.limit:
            return True
        own = len(self.queues.get(ticket.team, ()))
        return own < self.limit / (len(self.queues) + 1)

    def push(self, ticket: Ticket) -> None:
        """Append a ticket; the caller has checked `has_space`."""
        queue = self.queues.setdefault(ticket.team, [])
        if not queue:
            self.starts[ticket.team] = max(self.virtual_time, self.finish.get(ticket.team, 0.0))
        heapq.heappush(queue, (ticket.priority, next(self.counter), ticket))
        self.length += 1
        self.waiting_cost += ticket.cost

    def pop_first(self, accept: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the first ticket in fair order that is accepted.

        The first `SCAN_DEPTH` tickets of each team are offered: a request that waits for a
        certain endpoint does not hold up its team's requests for others.

        Args:
          accept: Called with a ticket; true when it can start now.
        """
        for team in sorted(self.queues, key=self.starts.__getitem__):
            for item in heapq.nsmallest(SCAN_DEPTH, self.queues[team]):
                if accept(item[2]):
                    self._take(team, item)
                    return item[2]
        return None

    def _take(self, team: str, item: tuple[int, int, Ticket]) -> None:
        queue = self.queues[team]
        queue.remove(item)
        heapq.heapify(queue)
        ticket = item[2]
        start = self.starts[team]
        self.virtual_time = max(self.virtual_time, start)
        discount = PRIORITY_DISCOUNT ** (LOWEST_PRIORITY - ticket.priority)
        self.finish[team] = start + ticket.cost * discount / ticket.weight
        self.starts[team] = self.finish[team]
        self._shrink(team, ticket)

    def _shrink(self, team: str, ticket: Ticket) -> None:
        self.length -= 1
        self.waiting_cost -= ticket.cost
        if not self.queues[team]:
            del self.queues[team]
            del self.starts[team]
        if not self.length:
            self.waiting_cost = 0.0
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Drop finish times that no longer delay anybody."""
        self.finish = {t: f for t, f in self.finish.items() if f > self.virtual_time}

    def remove(self, request_id: str) -> Ticket | None:
        """Remove the ticket of a request that no longer waits."""
        for ticket in list(self):
            if ticket.request_id == request_id:
                self._drop(ticket)
                return ticket
        return None

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed.

        Args:
          now: Monotonic seconds.
        """
        late = [ticket for ticket in self if ticket.deadline <= now]
        for ticket in late:
            self._drop(ticket)
        return late

    def _drop(self, ticket: Ticket) -> None:
        queue = self.queues[ticket.team]
        queue[:] = [item for item in queue if item[2] is not ticket]
        heapq.heapify(queue)
        self._shrink(ticket.team, ticket)

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self.queues.values():
            for item in queue:
                yield item[2]
