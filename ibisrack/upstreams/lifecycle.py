"""Lifecycle of the local upstream as this node sees it."""

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

    A ``cold`` upstream gets few slots and more with each success; a ``failing`` one was not reached
    or broke connections several times in a row; a ``draining`` one sheds every call.
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
