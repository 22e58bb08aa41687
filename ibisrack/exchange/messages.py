"""The part of every frame that identifies its sender."""

import attrs

from ibisrack.membership.records import MemberRecord
from ibisrack.timeline.clock import Timestamp


@attrs.frozen
class Hello:
    """First message of every frame.

    Attributes:
      sender: The sender's own record.
      stamp: The sender's clock.
    """

    sender: MemberRecord
    stamp: Timestamp
