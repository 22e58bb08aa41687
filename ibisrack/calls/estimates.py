"""Running estimates of the service time of one rank, updated by each finished call."""

import math

import attrs

MEAN_WEIGHT = 0.05  # Weight of the newest call; averages over about the last 20 calls.
MAX_TAIL_WORK_SHARE = 0.005  # Half of the 1% of work that may end after its deadline.
MIN_SERVICE_S = 0.0001
BUCKETS_PER_OCTAVE = 2
BUCKET_COUNT = 48
TAIL_REFRESH_CALLS = 32
WORK_HALVING_CALLS = 2048
# Tail in means until enough calls have finished; 98% of exponential service times are shorter.
INITIAL_TAIL_MEANS = 4.0


@attrs.define
class ServiceEstimate:
    """Mean and tail of service times.

    The tail is weighted by work: calls longer than ``tail_s`` use at most MAX_TAIL_WORK_SHARE of
    the slot time.  A quantile of the number of calls would leave too much work above it, because
    the calls above it are the longest.

    Attributes:
      mean_s: Exponentially weighted mean, 0 before the first call.
      tail_s: Service time above which lies at most MAX_TAIL_WORK_SHARE of the work, 0 before the
        first call.
    """

    mean_s: float = 0.0
    tail_s: float = 0.0
    _bucket_work_s: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    _call_count: int = 0

    def add(self, service_s: float) -> None:
        """Updates the estimates with one finished call."""
        self.mean_s += (service_s - self.mean_s) * (MEAN_WEIGHT if self._call_count else 1.0)
        self._bucket_work_s[_bucket_index(service_s)] += service_s
        self._call_count += 1
        if self._call_count < TAIL_REFRESH_CALLS:
            self.tail_s = INITIAL_TAIL_MEANS * self.mean_s
        elif self._call_count % TAIL_REFRESH_CALLS == 0:
            self.tail_s = self._compute_tail_s()
        if self._call_count % WORK_HALVING_CALLS == 0:
            self._bucket_work_s = [work_s / 2 for work_s in self._bucket_work_s]

    def _compute_tail_s(self) -> float:
        allowed_s = sum(self._bucket_work_s) * MAX_TAIL_WORK_SHARE
        for bucket in range(BUCKET_COUNT - 1, -1, -1):
            allowed_s -= self._bucket_work_s[bucket]
            if allowed_s < 0:
                return MIN_SERVICE_S * 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE)
        return 0.0


def _bucket_index(service_s: float) -> int:
    if service_s <= MIN_SERVICE_S:
        return 0
    bucket = int(math.log2(service_s / MIN_SERVICE_S) * BUCKETS_PER_OCTAVE)
    return min(BUCKET_COUNT - 1, bucket)
