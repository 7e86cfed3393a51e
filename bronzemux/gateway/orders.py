"""Orders to load weights, and the control interface of model endpoints."""

import enum
from collections.abc import Mapping

from bronzemux import records
from bronzemux.gateway import model


class SwitchMode(enum.Enum):
    """How an endpoint treats running requests when its weights change."""

    QUEUE = "queue"
    TRUNCATE = "truncate"
    HOT_SWAP = "hot_swap"


class Outcome(enum.Enum):
    """Result of sending an order to an endpoint."""

    HOLDS = "holds"
    ACCEPTED = "accepted"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_ENDPOINT = "other-endpoint"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@records.record
class WeightsOrder:
    """An order to load weights.

    Attributes:
      endpoint: Endpoint that is to load them.
      model: Name of the model.
      version: Version of the weights.
      mode: How running requests are treated.
      holder: Name of the VM that sends the order.
      token: Fencing token of its lease.
      expected: Number of orders that the endpoint must have accepted before, None for any.
    """

    endpoint: model.Endpoint
    model: str
    version: int
    mode: SwitchMode
    holder: str
    token: int
    expected: int | None


@records.record
class Report:
    """Status report of an endpoint, some hundred milliseconds old.

    Attributes:
      weights: Version of the weights by model.
      is_busy: Whether it is executing an order.
      order_count: Number of orders that it has accepted.
      running: Number of running requests.
      started_at_ms: Unix time of its start in milliseconds, 0 when it is not reported.
      is_leaving: Whether the response announces that the endpoint leaves.
    """

    weights: Mapping[str, int]
    is_busy: bool
    order_count: int
    running: int = 0
    started_at_ms: int = 0
    is_leaving: bool = False


class EndpointControl:
    """Control interface of the endpoints."""

    def order_weights(self, order: WeightsOrder) -> Outcome:
        """Send an order and return its outcome."""
        raise NotImplementedError

    def report(self, endpoint: model.Endpoint) -> Report | None:
        """Return the status report of an endpoint, None without a valid response."""
        raise NotImplementedError
