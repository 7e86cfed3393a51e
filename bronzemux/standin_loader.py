"""Component of the stand-in engine that loads weights and adapters and changes roles."""

from bronzemux import clock as clocks
from bronzemux import engine, standin_cache

ADAPTER_LOAD_FRACTION = 0.25  # of the time to load weights
ROLE_MIXED = "mixed"
ROLE_DECODE = "decode"


class ModelLoader:
    """Weights, adapters and role of one stand-in engine.

    Args:
      models: Pairs of the name of a model and its weights version.
      load_seconds: Function that returns the time to load weights in seconds.
      clock: Source of time.
      load_counter: Counter of concurrent weight loads that the engines of a deployment share.

    Attributes:
      orders: Executed orders.
      highest_fencing_token: Highest fencing token of the executed orders.
      peak_concurrent_loads: Highest number of engines of the deployment that were loading when this
        one began to load, itself included.
    """

    def __init__(
        self,
        models,
        load_seconds,
        clock: clocks.Clock,
        load_counter: standin_cache.WeightLoadCounter,
    ):
        self.weights: dict[str, str] = dict(models)
        self.adapters: dict[str, str] = {}
        self.role = ROLE_MIXED
        self.load_seconds = load_seconds
        self.clock = clock
        self.load_counter = load_counter
        self.orders: list[engine.Order] = []
        self.highest_fencing_token = 0
        self.peak_concurrent_loads = 0

    def serves(self, model: str, version: str, adapter: str) -> bool:
        """Return whether a job can run with the present weights, adapters and role.

        Args:
          model: Name of the model.
          version: Weights version that the job requires.
          adapter: Name and version of the adapter as ``name@version``, or empty.
        """
        name, _, adapter_version = adapter.partition("@")
        key = engine.adapter_key(model, name)
        has_adapter = not adapter or self.adapters.get(key) == adapter_version
        return self.role != ROLE_DECODE and self.weights.get(model) == version and has_adapter

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
        self.peak_concurrent_loads = max(self.peak_concurrent_loads, self.load_counter.change(1))
        try:
            self.clock.sleep(self.load_seconds() * fraction)
        finally:
            self.load_counter.change(-1)
