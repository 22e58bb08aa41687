"""Messages about suspects, which each node passes on to its peers once."""

import attrs


@attrs.frozen
class CrashReport:
    """An instance crashed.

    Attributes:
      instance_id: The instance.
      started_at_ms: Start of its process in Unix milliseconds.
      suspects: Fingerprints of the requests that it ran at that time.
      repeated: Those of them that ran in quarantine, as suspects of an earlier crash.
      age_ms: Time since the crash.
    """

    instance_id: str
    started_at_ms: int
    suspects: tuple[bytes, ...]
    repeated: tuple[bytes, ...]
    age_ms: int


@attrs.frozen
class RunCompleted:
    """An instance answered a suspect, which therefore doesn't crash instances.

    Attributes:
      fingerprint: Fingerprint of the request.
    """

    fingerprint: bytes


Message = CrashReport | RunCompleted
