"""Counters of the frames that a node exchanges with its peers, for metrics."""

import attrs


@attrs.define
class ExchangeTraffic:
    """Frames and bytes since the start of the process, without HTTP headers.

    Attributes:
      sent_frames: Frames sent, as requests or answers.
      sent_bytes: Their bytes after compression.
      received_frames: Frames received, malformed ones included.
      received_bytes: Their bytes before decompression.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0

    def count_sent(self, frame: bytes) -> bytes:
        """Counts a frame to be sent and returns it."""
        self.sent_frames += 1
        self.sent_bytes += len(frame)
        return frame

    def count_received(self, frame: bytes) -> bytes:
        """Counts a received frame and returns it."""
        self.received_frames += 1
        self.received_bytes += len(frame)
        return frame
