"""Lifecycle of the local upstream as observed by this node."""

from transitions import Machine

COLD = "cold"
READY = "ready"
FAILING = "failing"
DRAINING = "draining"

_TRANSITIONS = [
    {"trigger": "warm", "source": COLD, "dest": READY},
    {"trigger": "fail", "source": [COLD, READY], "dest": FAILING},
    {"trigger": "recover", "source": [FAILING, DRAINING], "dest": COLD},
    {"trigger": "drain", "source": [COLD, READY], "dest": DRAINING},
]


class UpstreamLifecycle:
    """State machine of the local upstream.

    States:
      cold: Gets few slots at first and more with each success.
      ready: Has gained all slots since it was cold.
      failing: Was unreachable or broke connections several times in a row.
      draining: Sheds every call.
    """

    state: str

    def __init__(self) -> None:
        self._machine = Machine(
            self,
            states=[COLD, READY, FAILING, DRAINING],
            transitions=_TRANSITIONS,
            initial=COLD,
            ignore_invalid_triggers=True,
        )
