"""Tests of what a second attempt earns, computed for each kind of request that may be repeated.

Nothing waits here: the second attempt is sent only while instances have free slots.
"""

from random import Random

import attrs

from ibisrack.dispatch.budget import USABLE_SHARE
from ibisrack.dispatch.hedging import MAX_RUNS, Hedging, quantile
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import route

RETRY_RATIO = 0.2  # Retries allowed per request.
SAMPLES = 20_000
SPREAD = 0.3  # Of the run times, in log units.


@attrs.frozen
class Kind:
    """The run times of a kind of request.

    Attributes:
      work_s: Median run time at speed 1.
      target_s: Time within which an answer has its full value.
      speeds: Speeds of the instances, as many of each.
      long_share: Share of the runs that take seven times as long.
      slow_share: Share of the time for which an instance is 2.5 times slower.
      calls_s: Time for calls, which 0.7 of the requests make.
    """

    work_s: float
    target_s: float
    speeds: tuple[float, ...]
    long_share: float = 0.0
    slow_share: float = 0.0
    calls_s: float = 0.0

    def run_s(self, rng: Random) -> float:
        """Returns a run time on an instance; faster ones get as much more as they are faster."""
        speed = rng.choices(self.speeds, self.speeds)[0]
        run_s = self.work_s * rng.lognormvariate(0.0, SPREAD) / speed
        run_s *= 7.0 if rng.random() < self.long_share else 1.0
        run_s *= 2.5 if rng.random() < self.slow_share else 1.0
        return run_s + (self.calls_s if rng.random() < 0.7 else 0.0)


STEADY = (0.5, 1.0, 1.0, 1.5)
UNEVEN = (0.7, 0.7, 1.7)
KINDS = {
    "A balance-check": Kind(0.144, 0.623, STEADY, calls_s=0.08),
    "A ledger-read, customer-read": Kind(0.0378, 0.230, STEADY),
    "B balance-check": Kind(0.215, 0.748, UNEVEN, 0.03, 0.15, calls_s=0.09),
    "B statement-history": Kind(0.862, 2.822, UNEVEN, 0.03, 0.15),
    "B tariff-lookup": Kind(0.0625, 0.344, UNEVEN, 0.03, 0.15),
}


@attrs.frozen
class Payoff:
    """What second attempts earn and cost.

    Attributes:
      late_alone: Share of the requests that are late without a second attempt.
      late_hedged: Share that is late with one.
      sent: Second attempts per request.
      load: Additional run time, relative to that of the first attempts.
    """

    late_alone: float
    late_hedged: float
    sent: float
    load: float


def sorted_runs_s(kind: Kind, rng: Random) -> list[float]:
    """Returns run times of a kind in rising order."""
    return sorted(kind.run_s(rng) for _ in range(SAMPLES))


def payoff(kind: Kind, delay_s: float) -> Payoff:
    """Returns the payoff of a second attempt after a delay."""
    rng = Random(1)
    firsts_s, sent, late_hedged, extra_s = sorted_runs_s(kind, rng), 0, 0, 0.0
    for first_s in firsts_s:
        answer_s = first_s
        if first_s > delay_s:
            sent += 1
            answer_s = min(first_s, delay_s + kind.run_s(rng))
            # Both hold a slot until the first answer.  The time that the first one saves is not
            # counted, because an instance may go on with a cancelled request.
            extra_s += answer_s - delay_s
        late_hedged += answer_s > kind.target_s
    late_alone = sum(first_s > kind.target_s for first_s in firsts_s)
    return Payoff(
        late_alone / SAMPLES, late_hedged / SAMPLES, sent / SAMPLES, extra_s / sum(firsts_s)
    )


def decided_delay_s(kind: Kind) -> float | None:
    """Returns the delay that is decided from the recent runs of a kind."""
    hedging, rng, hedged_route = Hedging(), Random(2), route(target_s=kind.target_s)
    for _ in range(MAX_RUNS):
        hedging.record_run(hedged_route, kind.run_s(rng))
    return hedging.delay_s(hedged_route, kind.target_s, 5_000)


def test_second_attempts_are_sent_only_where_they_pay_off():
    """Guards against load for second attempts that come too late or are not needed."""
    delays_s = {name: decided_delay_s(kind) for name, kind in KINDS.items()}
    assert {name for name, delay_s in delays_s.items() if delay_s is not None} == {
        "B statement-history",
        "B tariff-lookup",
    }
    for name, gain, load in (("B statement-history", 1.4, 0.08), ("B tariff-lookup", 4.0, 0.04)):
        expected = payoff(KINDS[name], delays_s[name])
        assert expected.late_hedged * gain < expected.late_alone, (name, expected)
        assert expected.load < load, (name, expected)
        assert expected.sent < RETRY_RATIO * USABLE_SHARE, (name, expected)


def test_second_attempts_after_almost_all_others_would_come_too_late():
    """Guards against a delay by quantiles alone: the 98th percentile lies beyond each target."""
    for name in ("B balance-check", "B statement-history", "B tariff-lookup"):
        delay_s = quantile(sorted_runs_s(KINDS[name], Random(1)), 0.98)
        expected = payoff(KINDS[name], delay_s)
        assert expected.late_hedged == expected.late_alone, (name, expected)


load_tests = function_tests(__name__)
