"""Exception hierarchy of ibisrack.

Every error that ibisrack raises on purpose derives from IbisError, so that servers and commands can
turn it into an answer without hiding programming errors.
"""

import attrs


@attrs.frozen
class Fault:
    """A problem found in an input file.

    Attributes:
      file: Name of the file as the user gave it.
      line: Line number from 1, or 0 if the fault has no line.
      message: Description of the problem, in one sentence.
      path: Path of the value in a settings file, otherwise empty.
    """

    file: str
    line: int
    message: str
    path: str = ""

    def __str__(self) -> str:
        """Formats the fault as FILE:LINE: PATH: MESSAGE, without a missing line or path."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.path}: {self.message}" if self.path else f"{place}: {self.message}"


class IbisError(Exception):
    """Base class of all errors raised by ibisrack."""


class FaultsError(IbisError):
    """An input file has one or more faults.

    Attributes:
      faults: All faults of the file.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(FaultsError):
    """A settings file is not valid."""


class RulesError(FaultsError):
    """A rules file is not valid."""


class MessageError(IbisError):
    """A message from another process is malformed, truncated or too large."""


class PlatformError(IbisError):
    """A service of the platform failed or gave an invalid answer."""


class PlatformConnectionError(PlatformError):
    """The connection to a service of the platform could not be opened, or broke."""


class PlatformTimeoutError(PlatformConnectionError):
    """A service of the platform did not answer in time."""


class HistoryGoneError(PlatformError):
    """The platform no longer has the changes since a revision."""


class BacklogError(PlatformError):
    """The changes since a revision are too large to be read one by one."""


class PeerError(IbisError):
    """A control exchange with a peer node failed."""


class RequestError(IbisError):
    """A request is malformed or matches no route; it was not run.

    Attributes:
      status: HTTP status code of the response.
      retry_after_s: Time after which the caller may come back, None if that is of no use.
    """

    def __init__(self, message: str, status: int = 400, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s


class NotRunError(IbisError):
    """A call was refused and is certain not to have run.

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


class PeerLostError(UnknownOutcomeError):
    """The peer that holds a request can't be reached; its result may still arrive.

    Attributes:
      reason: Reason code from ibisrack.calls.outcomes.
      attempt: The attempt, whose result can still be awaited.
    """

    def __init__(self, reason: str, attempt: object) -> None:
        super().__init__(reason)
        self.attempt = attempt
