"""Seeds that broke a promise once; ``make soak`` without SEEDS runs them all again."""

import attrs

from bench.soak.additions import Addition


@attrs.frozen
class Regression:
    """A run that broke a promise.

    Attributes:
      seed: Its seed.
      sidecars: Its number of sidecars.
      duration_s: Its time of faults.
      cause: What was found, or that it is open.
      additions: Faults beyond those of the seed.
      zones: Its number of availability zones.
    """

    seed: int
    sidecars: int
    duration_s: float
    cause: str
    additions: tuple[Addition, ...] = ()
    zones: int = 3


RESULT_DROPPED = (
    "a result is dropped after 2 s; the resume of a peer that was paused or cut off longer is then"
    " answered as never received; a request that ran is reported as not run or runs again elsewhere"
)
WRITE_AFTER_CLOSE = (
    "uvloop raises RuntimeError for a write to a closed transport; a submission or a cancellation"
    " that meets a link at its loss ends in aiohttp's own 500 without Request-Id"
)

HANGUP_AT_THE_END = (
    "a SIGHUP between the end of the event loop and that of the process meets the default action;"
    " the process ends with that signal instead of status 0"
)
REFUSED_DELTA = (
    "followers refuse the delta of an entry over 1 MiB, which readers accept from the store; they"
    " lose the link, follow the same peers again and answer 404 for routes of newer versions"
)
DEADLY_REQUEST = (
    "no sidecar remembers the requests that instances crashed on; each new attempt is passed on"
)
ODD_ENTRY = (
    "an instance whose slots have 400 digits makes dispatch fail with aiohttp's own 500; an entry"
    " nested 5,000 deep ends the task that applies it before it has applied those that follow"
)
CUT_READER = (
    "the paths of seven hosts to the store are slow, that of the only reader of the zone among"
    " them; the others keep to it until its last answer is 3 s old and have new versions too late"
)

REGRESSIONS = (
    Regression(1, 6, 25.0, RESULT_DROPPED),
    Regression(2, 6, 30.0, RESULT_DROPPED),
    Regression(16, 6, 25.0, RESULT_DROPPED),
    Regression(106, 4, 25.0, RESULT_DROPPED),
    Regression(116, 4, 25.0, RESULT_DROPPED),
    Regression(118, 4, 25.0, RESULT_DROPPED),
    Regression(122, 4, 25.0, RESULT_DROPPED),
    Regression(127, 4, 25.0, RESULT_DROPPED),
    Regression(3, 6, 25.0, WRITE_AFTER_CLOSE),
    Regression(5, 6, 25.0, WRITE_AFTER_CLOSE),
    Regression(7, 6, 25.0, WRITE_AFTER_CLOSE),
    Regression(13, 6, 25.0, WRITE_AFTER_CLOSE),
    Regression(102, 4, 25.0, WRITE_AFTER_CLOSE),
    Regression(2117, 6, 30.0, HANGUP_AT_THE_END),
    Regression(2128, 6, 30.0, HANGUP_AT_THE_END),
    Regression(3, 6, 30.0, DEADLY_REQUEST, (Addition.DEADLY_REQUESTS,)),
    Regression(6, 6, 30.0, ODD_ENTRY, (Addition.ODD_ENTRIES,)),
    Regression(5, 9, 30.0, REFUSED_DELTA, (Addition.LARGE_CONFIGURATION,), zones=1),
    Regression(
        91011,
        9,
        30.0,
        CUT_READER,
        (Addition.LARGE_CONFIGURATION, Addition.ODD_ENTRIES, Addition.DEADLY_REQUESTS),
        zones=1,
    ),
)
