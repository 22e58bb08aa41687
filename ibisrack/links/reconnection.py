"""Decides how long an outgoing link waits before it connects again."""

CONNECT_RETRY_PAUSE_S = 0.1  # Pause after a failed connection attempt.
LINK_LOSS_PAUSE_S = 0.01  # Pause before the first reconnect after an open link broke.
# Maximum pause after messages that can't be decoded: the peer may send them again each time.
MAX_UNUSABLE_PAUSE_S = 2.0


def reconnect_pause_s(was_open: bool, unusable_messages: int) -> float:
    """Returns the pause before the next connection.

    Args:
      was_open: Whether the last connection was opened.
      unusable_messages: Consecutive connections that a message which can't be decoded ended.
    """
    if unusable_messages:
        doublings = min(unusable_messages - 1, 8)
        return min(MAX_UNUSABLE_PAUSE_S, CONNECT_RETRY_PAUSE_S * 2**doublings)
    return LINK_LOSS_PAUSE_S if was_open else CONNECT_RETRY_PAUSE_S
