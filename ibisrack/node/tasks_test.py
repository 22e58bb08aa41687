"""Tests of the restart of failed tasks."""

from ibisrack.node.tasks import keep_running
from ibisrack.testing.functions import function_tests


async def test_failed_task_starts_again_and_ends_when_it_returns():
    """Guards against a node that silently goes on without its links or its reader."""
    starts = []

    async def fail_twice() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise ValueError("unexpected input")

    await keep_running("links", fail_twice, pause_s=0.0)
    assert starts == [0, 1, 2]


load_tests = function_tests(__name__)
