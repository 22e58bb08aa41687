"""Seeds that broke a promise once; ``make soak`` without SEEDS runs them all again."""

import attrs


@attrs.frozen
class Regression:
    """A run that broke a promise.

    Attributes:
      seed: Its seed.
      sidecars: Its number of sidecars.
      duration_s: Its time of faults.
      cause: What was found, or that it is open.
    """

    seed: int
    sidecars: int
    duration_s: float
    cause: str


REGRESSIONS = (
    Regression(
        seed=1,
        sidecars=6,
        duration_s=25.0,
        cause="a result is dropped after 2 s; the resume of a peer that was paused longer is then"
        " answered as never received, so a request that ran is reported as not run",
    ),
)
