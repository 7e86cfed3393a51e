"""Token buckets."""

from bronzemux import records


@records.state
class Bucket:
    """Token bucket.

    Attributes:
      rate: Units per second.
      capacity: Greatest level.
      level: Units available; negative after a request larger than the bucket.
      updated_at: Monotonic seconds of the last refill.
    """

    rate: float
    capacity: float
    level: float
    updated_at: float

    def refill(self, rate: float, capacity: float, now: float) -> None:
        """Refill the bucket at a rate that may have changed, up to a capacity that may have too."""
        self.level = min(capacity, self.level + (now - self.updated_at) * rate)
        self.rate, self.capacity = rate, capacity
        self.updated_at = now

    def wait_seconds(self, units: float) -> float:
        """Return the seconds until units are available, 0 if they are available now.

        A request for more units than the bucket can hold is granted once the bucket is full, and
        makes its level negative.
        """
        needed = min(units, self.capacity)
        return max(0.0, (needed - self.level) / self.rate)
