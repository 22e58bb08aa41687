"""States of a node from its start to its stop, and the transitions between them."""

import logging

from transitions import Machine

STARTING = "starting"
JOINING = "joining"
SERVING = "serving"
RESUMING = "resuming"
DRAINING = "draining"
STOPPED = "stopped"

# The library logs every callback; the changes of state are recorded in the timeline anyway.
logging.getLogger("transitions").setLevel(logging.WARNING)

_TRANSITIONS = [
    {"trigger": "join", "source": STARTING, "dest": JOINING},
    {"trigger": "serve", "source": [JOINING, RESUMING], "dest": SERVING},
    {"trigger": "resume", "source": SERVING, "dest": RESUMING},
    {"trigger": "drain", "source": [STARTING, JOINING, SERVING, RESUMING], "dest": DRAINING},
    {"trigger": "stop", "source": "*", "dest": STOPPED},
]


class Lifecycle:
    """State machine of a node.

    A node serves calls only in ``serving``: before that it may not know the highest revision that
    its peers hold, and after a pause its own revision may be out of date.
    """

    state: str

    def __init__(self) -> None:
        self._machine = Machine(
            self,
            states=[STARTING, JOINING, SERVING, RESUMING, DRAINING, STOPPED],
            transitions=_TRANSITIONS,
            initial=STARTING,
            ignore_invalid_triggers=True,
        )
