"""Bounds of the checks, in seconds unless their names say otherwise."""

# The first are from the users' pages.
STABLE_WINDOW_S = 3.0  # A sidecar counts as undisturbed this long after a fault.
DRAIN_S = 2.0
EVACUATE_S = 5.0
CONFIG_APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
RECOVER_S = 15.0
LOSS_SLACK_S = 0.2  # A request that crosses the close of its connection was not read.
LATE_STOP_REQUEST_S = 3.0  # Requests this long after SIGTERM may be cut near the end of the grace.

DEADLY_CRASHES = 3  # After so many crashes a request counts as deadly.
DEADLY_RETRIES = 3  # So many more may reach instances.

DRAIN_MARGIN_S = 0.5  # Time for requests on their way when the drain time ends.
LIMIT_MARGIN_S = 0.25  # A failure this close to the request's limit is its timeout.
