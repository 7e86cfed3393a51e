"""Part of the stand-in engine: what it has loaded, and the orders that change it."""

from bronzemux import clock as clocks
from bronzemux import engine, standin_cache

ADAPTER_SHARE = 0.25
MIXED = "mixed"
DECODE = "decode"


class ModelLoader:
    """Weights, adapters and role of one stand-in engine.

    Args:
      models: Weights version by model.
      load_seconds: Returns the time to load weights.
      clock: Source of time.
      loads: Counter of weight loads that the engines of a deployment share.
    """

    def __init__(self, models, load_seconds, clock: clocks.Clock, loads: standin_cache.LoadCounter):
        self.weights: dict[str, str] = dict(models)
        self.adapters: dict[str, str] = {}
        self.role = MIXED
        self.load_seconds = load_seconds
        self.clock = clock
        self.loads = loads
        self.orders: list[engine.Order] = []
        self.highest_fence = 0
        self.peak_concurrent_loads = 0

    def serves(self, model: str, version: str, adapter: str) -> bool:
        """Return whether a job can run.

        Args:
          model: Name of the model.
          version: Weights version that must answer.
          adapter: Name and version of the adapter, or empty.
        """
        name, _, adapter_version = adapter.partition("@")
        key = engine.adapter_key(model, name)
        has_adapter = not adapter or self.adapters.get(key) == adapter_version
        return self.role != DECODE and self.weights.get(model) == version and has_adapter

    def carry_out(self, order: engine.Order) -> None:
        """Carry an order out; it returns when everything is loaded."""
        self.highest_fence = max(self.highest_fence, order.fencing_token)
        self.orders.append(order)
        if order.weights_version and self.weights.get(order.model) != order.weights_version:
            self._load(1.0)
            self.weights[order.model] = order.weights_version
        name, _, version = order.adapter.partition("@")
        if name:
            self._load(ADAPTER_SHARE)
            self.adapters[engine.adapter_key(order.model, name)] = version
        if order.role:
            self.role = order.role

    def _load(self, share: float) -> None:
        self.peak_concurrent_loads = max(self.peak_concurrent_loads, self.loads.change(1))
        try:
            self.clock.sleep(self.load_seconds() * share)
        finally:
            self.loads.change(-1)
