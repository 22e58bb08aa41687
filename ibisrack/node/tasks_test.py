"""Tests of the restart of failed tasks."""

from ibisrack.node.tasks import keep_running
from ibisrack.testing.functions import function_tests


async def test_failed_task_is_restarted_until_it_returns():
    """Guards against a node that keeps running without its link or platform reader task."""
    starts = []

    async def fail_twice() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise ValueError("unexpected input")

    await keep_running("links", fail_twice, delay_s=0.0)
    assert starts == [0, 1, 2]


load_tests = function_tests(__name__)
