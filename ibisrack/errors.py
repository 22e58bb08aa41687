"""Exception tree of the project.

Every error that the project raises on purpose derives from IbisError, so that a shell can turn
any of them into a typed answer without catching programming mistakes.
"""

import attrs


@attrs.frozen
class Fault:
    """One problem found in an input file.

    Attributes:
      file: Name of the file as the user gave it.
      line: Line number from 1, or 0 where lines do not apply.
      message: What is wrong, as one sentence.
      path: JSON path of the value for settings files, otherwise empty.
    """

    file: str
    line: int
    message: str
    path: str = ""

    def __str__(self) -> str:
        """Formats the fault as file:line: message."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.path}: {self.message}" if self.path else f"{place}: {self.message}"


class IbisError(Exception):
    """Base class of all errors raised by ibisrack."""


class FaultsError(IbisError):
    """An input file with one or more faults, all reported together."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(FaultsError):
    """A settings file is not valid."""


class RulesError(FaultsError):
    """A rules file is not valid."""


class MessageError(IbisError):
    """A message from another process is malformed, truncated or oversized."""


class PlatformError(IbisError):
    """The platform's service did not give a usable answer."""


class PlatformTimeoutError(PlatformError):
    """The platform's service did not answer in time."""


class HistoryGoneError(PlatformError):
    """The platform's service does not know the changes since a revision any more."""


class PeerError(IbisError):
    """A peer node did not answer a control exchange."""


class RequestError(IbisError):
    """A caller's request is malformed; it was not run.

    Attributes:
      status: HTTP status code of the answer.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class NotRunError(IbisError):
    """A call was refused and certainly did not run.

    Attributes:
      reason: Reason code from ibisrack.calls.outcomes.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class UnknownOutcomeError(IbisError):
    """A call may or may not have run.

    Attributes:
      reason: Reason code from ibisrack.calls.outcomes.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
