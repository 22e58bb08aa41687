"""Counts and logs the verdicts on suspects."""

import logging
from functools import singledispatchmethod

import attrs

from ibisrack.suspects.table import Blocked, Clear, Suspected, Verdict

_LOGGER = logging.getLogger("ibisrack.suspects")


@attrs.define(eq=False)
class SuspectRecorder:
    """Counts and logs the verdicts on suspects.

    Attributes:
      blocks: Requests that were blocked.
      lifted_blocks: Blocked requests that an instance answered all the same.
    """

    blocks: int = 0
    lifted_blocks: int = 0

    def record_verdict(self, fingerprint: bytes, verdict: Verdict, instance_id: str) -> None:
        """Records the verdict after a crash.

        Args:
          fingerprint: Fingerprint of a request that ran at the crash.
          verdict: The verdict on it.
          instance_id: Instance that crashed.
        """
        extra = {"fingerprint": fingerprint.hex(), "instance": instance_id}
        self._record(verdict, extra)

    @singledispatchmethod
    def _record(self, verdict: Verdict, extra: dict) -> None:
        raise TypeError(f"unexpected verdict {type(verdict).__name__}")

    @_record.register
    def _(self, verdict: Clear, extra: dict) -> None:
        pass

    @_record.register
    def _(self, verdict: Suspected, extra: dict) -> None:
        _LOGGER.info("request suspected", extra=extra | {"crashes": verdict.crashes})

    @_record.register
    def _(self, verdict: Blocked, extra: dict) -> None:
        self.blocks += 1
        _LOGGER.warning("request blocked", extra=extra | {"crashes": verdict.crashes})

    def record_cleared(self, fingerprint: bytes, before: Verdict) -> None:
        """Records that an instance answered a request on which there was a verdict."""
        self._record_cleared(before, {"fingerprint": fingerprint.hex()})

    @singledispatchmethod
    def _record_cleared(self, before: Verdict, extra: dict) -> None:
        raise TypeError(f"unexpected verdict {type(before).__name__}")

    @_record_cleared.register
    def _(self, before: Clear, extra: dict) -> None:
        pass

    @_record_cleared.register
    def _(self, before: Suspected, extra: dict) -> None:
        _LOGGER.info("suspect cleared", extra=extra)

    @_record_cleared.register
    def _(self, before: Blocked, extra: dict) -> None:
        self.lifted_blocks += 1
        _LOGGER.warning("block lifted", extra=extra)
