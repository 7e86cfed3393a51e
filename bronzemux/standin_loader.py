"""Component of the stand-in engine: loaded weights, adapters and role, and orders for them."""

from bronzemux import clock as clocks
from bronzemux import engine, standin_cache

ADAPTER_LOAD_FRACTION = 0.25  # of the time to load weights
MIXED = "mixed"
DECODE = "decode"


class ModelLoader:
    """Weights, adapters and role of one stand-in engine.

    Args:
      models: Weights version by model.
      load_seconds: Function that returns the time to load weights.
      clock: Source of time.
      loads: Counter of weight loads that the engines of a deployment share.

    Attributes:
      orders: Executed orders.
      highest_fencing_token: Highest fencing token of the executed orders.
      peak_concurrent_loads: Most engines of the deployment that were seen loading at once.
    """

    def __init__(self, models, load_seconds, clock: clocks.Clock, loads: standin_cache.LoadCounter):
        self.weights: dict[str, str] = dict(models)
        self.adapters: dict[str, str] = {}
        self.role = MIXED
        self.load_seconds = load_seconds
        self.clock = clock
        self.loads = loads
        self.orders: list[engine.Order] = []
        self.highest_fencing_token = 0
        self.peak_concurrent_loads = 0

    def serves(self, model: str, version: str, adapter: str) -> bool:
        """Return whether a job can run with what is loaded, in the present role.

        Args:
          model: Name of the model.
          version: Weights version that the job requires.
          adapter: Name and version of the adapter as ``name@version``, or empty.
        """
        name, _, adapter_version = adapter.partition("@")
        key = engine.adapter_key(model, name)
        has_adapter = not adapter or self.adapters.get(key) == adapter_version
        return self.role != DECODE and self.weights.get(model) == version and has_adapter

    def execute(self, order: engine.Order) -> None:
        """Execute an order and return once everything that it names is loaded."""
        self.highest_fencing_token = max(self.highest_fencing_token, order.fencing_token)
        self.orders.append(order)
        if order.weights_version and self.weights.get(order.model) != order.weights_version:
            self._load(1.0)
            self.weights[order.model] = order.weights_version
        name, _, version = order.adapter.partition("@")
        if name:
            self._load(ADAPTER_LOAD_FRACTION)
            self.adapters[engine.adapter_key(order.model, name)] = version
        if order.role:
            self.role = order.role

    def _load(self, fraction: float) -> None:
        self.peak_concurrent_loads = max(self.peak_concurrent_loads, self.loads.change(1))
        try:
            self.clock.sleep(self.load_seconds() * fraction)
        finally:
            self.loads.change(-1)
