"""Estimates of the service time of one kind of work, learned from finished calls."""

import math

import attrs

MEAN_WEIGHT = 0.05  # Weight of the newest call; about the last 20 calls count.
TAIL_WORK_SHARE = 0.005  # Half of the share of work that may end after its deadline (1%).
SMALLEST_S = 0.0001
BUCKETS_PER_OCTAVE = 2
BUCKET_COUNT = 48
REFRESH_CALLS = 32
HALVING_CALLS = 2048
FIRST_TAIL_MEANS = 4.0  # 98% of exponential service times are shorter; used before the first tail.


@attrs.define
class ServiceEstimate:
    """Mean and tail of service times.

    The tail is weighted by work: calls longer than ``tail_s`` hold at most TAIL_WORK_SHARE of the
    slot time.  A plain quantile would hold too much work behind it, because late calls are long.

    Attributes:
      mean_s: Mean of the recent calls, 0 before the first.
      tail_s: Service time that hardly any work exceeds, 0 before the first call.
    """

    mean_s: float = 0.0
    tail_s: float = 0.0
    _work_s: list[float] = attrs.field(factory=lambda: [0.0] * BUCKET_COUNT)
    _calls: int = 0

    def add(self, service_s: float) -> None:
        """Learns from one finished call."""
        self.mean_s += (service_s - self.mean_s) * (MEAN_WEIGHT if self._calls else 1.0)
        self._work_s[_bucket(service_s)] += service_s
        self._calls += 1
        if self._calls < REFRESH_CALLS:
            self.tail_s = FIRST_TAIL_MEANS * self.mean_s
        elif self._calls % REFRESH_CALLS == 0:
            self.tail_s = self._tail_s()
        if self._calls % HALVING_CALLS == 0:
            self._work_s = [work_s / 2 for work_s in self._work_s]

    def _tail_s(self) -> float:
        allowed_s = sum(self._work_s) * TAIL_WORK_SHARE
        for bucket in range(BUCKET_COUNT - 1, -1, -1):
            allowed_s -= self._work_s[bucket]
            if allowed_s < 0:
                return SMALLEST_S * 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE)
        return 0.0


def _bucket(service_s: float) -> int:
    if service_s <= SMALLEST_S:
        return 0
    bucket = int(math.log2(service_s / SMALLEST_S) * BUCKETS_PER_OCTAVE)
    return min(BUCKET_COUNT - 1, bucket)
