"""Budget of the memory that a process holds for its callers.

It answers the load of callers that send long requests and stop short of their end: together they
would take more memory than the process may use. The module does no I/O; whoever reads asks the
budget for each growth, and refuses the request that it names.
"""

from collections.abc import Callable

from bronzemux import records

# Fraction of a VM's memory for the requests of callers, and the limit where its memory is not
# known. The process itself, the responses that it buffers and the bytes that sockets hold take the
# rest.
MAX_REQUESTS_MEMORY_FRACTION = 1 / 4
MAX_REQUESTS_BYTES = 256 * 1024 * 1024
# Fraction of the limit that only short requests may take, so that they are served while long ones
# take all the rest.
SHORT_REQUESTS_FRACTION = 1 / 8
SHORT_REQUEST_BYTES = 64 * 1024
# Memory of one decoded header field or part of a prompt, besides its characters.
DECODED_FIELD_BYTES = 256


@records.state
class Holding:
    """Memory that a process holds for one connection.

    Attributes:
      refuse: Called when the request that is being read has to be refused; it must not release the
        holding before it returns.
      held_bytes: Its bytes.
      is_refusable: Whether a request is being read, which can be refused as not run.
      is_refused: Whether that request has to be refused.
    """

    refuse: Callable[[], None]
    held_bytes: int = 0
    is_refusable: bool = False
    is_refused: bool = False


class MemoryBudget:
    """Memory for the requests of all callers.

    Args:
      memory_bytes: Memory of the VM, 0 when it is not known.

    Attributes:
      limit_bytes: Most bytes that requests may take together.
      held_bytes: Bytes that they take now.
      holdings: What is held for each open connection.
    """

    def __init__(self, memory_bytes: int):
        fraction = int(memory_bytes * MAX_REQUESTS_MEMORY_FRACTION)
        self.limit_bytes = fraction or MAX_REQUESTS_BYTES
        self.held_bytes = 0
        self.holdings: set[Holding] = set()

    def open(self, refuse: Callable[[], None]) -> Holding:
        """Return the holding of a new connection.

        Args:
          refuse: See `Holding`.
        """
        holding = Holding(refuse)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Return what is held for a connection that has ended."""
        self.release(holding)
        self.holdings.discard(holding)

    def begin(self, holding: Holding) -> None:
        """Record that a connection begins to read a request."""
        holding.is_refusable = True

    def complete(self, holding: Holding) -> None:
        """Record that a request is no longer read, after which it is not refused."""
        holding.is_refusable = holding.is_refused = False

    def release(self, holding: Holding) -> None:
        """Return what is held for a request, which has been answered."""
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0
        holding.is_refusable = holding.is_refused = False

    def resize(self, holding: Holding, count: int) -> bool:
        """Change the bytes that are held for a connection.

        When the budget is spent, the request that holds most of those that are not complete is
        refused, which may be the holding's own.

        Args:
          holding: What is held for it.
          count: Its bytes from now on.

        Returns:
          Whether the change is recorded; otherwise the caller tries again when the refused request
          has been released, unless `Holding.is_refused` shows that it is its own.
        """
        growth = count - holding.held_bytes
        if growth <= 0 or self.held_bytes + growth <= self._limit(count):
            self.held_bytes += growth
            holding.held_bytes = count
            return True
        released = sum(found.held_bytes for found in self.holdings if found.is_refused)
        if self.held_bytes - released + growth > self._limit(count):
            self._refuse_largest(holding, count)
        return False

    def _limit(self, count: int) -> int:
        if count <= SHORT_REQUEST_BYTES:
            return self.limit_bytes
        return int(self.limit_bytes * (1 - SHORT_REQUESTS_FRACTION))

    def _refuse_largest(self, growing: Holding, count: int) -> None:
        """Refuse the largest request that is not complete."""
        found, most = growing, count
        for holding in self.holdings:
            is_open = holding.is_refusable and not holding.is_refused
            if is_open and holding.held_bytes > most:
                found, most = holding, holding.held_bytes
        found.is_refused = True
        if found is not growing:
            found.refuse()
