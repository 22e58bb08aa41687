"""Reads the resident memory of this process."""

import os

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """Returns the resident memory, 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
