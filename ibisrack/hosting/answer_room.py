"""Room for answers on the host's network link, from the acceptance of a request to its answer."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from ibisrack.hosting.runs import Run
from ibisrack.links.pacer import LinkPacer


@attrs.define(eq=False)
class AnswerRoom:
    """Counts the answers that accepted requests of peers will have.

    Attributes:
      pacer: Pacer of the host's link.
    """

    pacer: LinkPacer = attrs.field(factory=LinkPacer)

    @contextmanager
    def hold(self, run: Run) -> Iterator[None]:
        """Counts the expected answer of a run until it is ready; a local one uses no link."""
        size_bytes = run.submit.expected_answer_bytes if run.from_peer else 0
        self.pacer.expect(size_bytes)
        try:
            yield
        finally:
            self.pacer.expect(-size_bytes)
