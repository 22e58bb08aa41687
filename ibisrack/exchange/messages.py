"""The message that identifies the sender of a frame."""

import attrs

from ibisrack.membership.records import MemberRecord
from ibisrack.timeline.clock import Timestamp


@attrs.frozen
class Hello:
    """First message of every frame.

    Attributes:
      sender: The sender's own record.
      stamp: Time of the sender's hybrid logical clock.
    """

    sender: MemberRecord
    stamp: Timestamp
