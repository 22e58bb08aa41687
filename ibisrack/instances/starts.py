"""What is remembered of the starts of instances after they drained, ended or were replaced.

An instance may start again under its id.  The time at which it started tells two starts apart, but
orders nothing: the clock of its host may have been set back in between.  What orders them is the
order in which the registry lists them.  Only a registry that was restored from a copy lists again
what it had listed before.
"""

import attrs

from ibisrack.instances.model import Instance, InstanceStart

MAX_REMEMBERED = 1000  # Starts that are remembered of each kind.


@attrs.define
class PastStarts:
    """Starts of instances that drained, were removed or were replaced by another start."""

    _drained: dict[InstanceStart, None] = attrs.field(factory=dict)
    # Sequence of the last report of each start that is not listed any more, None if the instance
    # has started again since.
    _ended: dict[InstanceStart, int | None] = attrs.field(factory=dict)

    def record_drained(self, start: InstanceStart) -> None:
        """Records that a start is about to end, whether it is listed yet or not."""
        _remember(self._drained, start, None)

    def has_drained(self, start: InstanceStart) -> bool:
        """Returns whether a start is about to end, or has ended after it drained."""
        return start in self._drained

    def record_removed(self, instance: Instance) -> None:
        """Records that an instance is not listed any more."""
        _remember(self._ended, instance.start, instance.sequence)

    def record_replaced(self, start: InstanceStart) -> None:
        """Records that the instance has started again."""
        _remember(self._ended, start, None)

    def record_listed(self, start: InstanceStart) -> None:
        """Records that a start is listed, at present or again."""
        self._ended.pop(start, None)
        if start in self._drained:
            _remember(self._drained, start, None)

    def includes(self, instance: Instance) -> bool:
        """Returns whether a report is one of a start that has ended, up to its last report."""
        if instance.start not in self._ended:
            return False
        last_sequence = self._ended[instance.start]
        return last_sequence is None or instance.sequence <= last_sequence


def _remember(
    starts: dict[InstanceStart, int | None], start: InstanceStart, value: int | None
) -> None:
    """Adds a start as the latest one; forgets the earliest of too many."""
    starts.pop(start, None)
    starts[start] = value
    if len(starts) > MAX_REMEMBERED:
        del starts[next(iter(starts))]
