"""Orders to model endpoints, and what endpoints say of themselves."""

import dataclasses
import enum
from collections.abc import Mapping

from bronzemux.gateway import model


class SwitchMode(enum.Enum):
    """What becomes of running requests when weights change."""

    QUEUE = "queue"
    TRUNCATE = "truncate"
    HOT_SWAP = "hot_swap"


class Outcome(enum.Enum):
    """What an endpoint said to an order."""

    HOLDS = "holds"
    ACCEPTED = "accepted"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_ENDPOINT = "other-endpoint"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class WeightsOrder:
    """Order to load weights.

    Attributes:
      endpoint: Who is to load them.
      model: Name of the model.
      version: Version of the weights.
      mode: What becomes of running requests.
      holder: VM that gives the order.
      token: Fencing token of its lease.
      expected: Orders that the endpoint must have accepted before, None for any number.
    """

    endpoint: model.Endpoint
    model: str
    version: int
    mode: SwitchMode
    holder: str
    token: int
    expected: int | None


@dataclasses.dataclass(frozen=True)
class Report:
    """What an endpoint says of itself; some hundred milliseconds old.

    Attributes:
      weights: Version of the weights by model.
      is_busy: Whether it carries out an order.
      order_count: Orders that it accepted.
      running: Requests that run.
      started_at_ms: Unix milliseconds of its start, 0 when it does not say.
    """

    weights: Mapping[str, int]
    is_busy: bool
    order_count: int
    running: int = 0
    started_at_ms: int = 0


class Orderer:
    """Interface to the endpoints' controls."""

    def order_weights(self, order: WeightsOrder) -> Outcome:
        """Give an order; return what the endpoint said."""
        raise NotImplementedError

    def report(self, endpoint: model.Endpoint) -> Report | None:
        """Return the report of an endpoint, None without a usable answer."""
        raise NotImplementedError
