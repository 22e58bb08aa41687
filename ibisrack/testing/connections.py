"""Fixtures for connections without a network: a transport that records whether it was closed."""

import asyncio

from ibisrack.upstreams.connection import Connection


class RecordingTransport(asyncio.Transport):
    """Transport that discards what is written.

    Attributes:
      closed: Whether it was closed or aborted.
      paused: Whether the connection wants no more data.
    """

    def __init__(self) -> None:
        super().__init__()
        self.closed = False
        self.paused = False

    def is_closing(self) -> bool:
        """Returns whether the transport is closed."""
        return self.closed

    def close(self) -> None:
        """Records the close."""
        self.closed = True

    abort = close

    def write(self, data: bytes) -> None:
        """Discards the data."""

    def pause_reading(self) -> None:
        """Records the pause; tests pass received data to the connection themselves."""
        self.paused = True

    def resume_reading(self) -> None:
        """Records the end of the pause."""
        self.paused = False


def create_waiting_connection() -> Connection:
    """Returns a connection on which a request was sent."""
    connection = Connection(asyncio.get_running_loop())
    connection.connection_made(RecordingTransport())
    connection.set_response_params(read_until_eof=True, auto_decompress=False)
    return connection
