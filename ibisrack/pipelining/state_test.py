"""Tests of the decisions on reading and starting pipelined requests."""

from ibisrack.pipelining.state import (
    MAX_QUEUED_BYTES,
    MAX_QUEUED_REQUESTS,
    MAX_UNSENT_ANSWER_BYTES,
    MIN_EXPECTED_ANSWER_BYTES,
    Pipeline,
    PipelinedRequest,
    Stage,
)
from ibisrack.testing.functions import function_tests


def pipeline_of(*may_repeat: bool) -> Pipeline:
    """Returns a pipeline whose first request has started; the others wait."""
    pipeline = Pipeline()
    pipeline.queue.extend(PipelinedRequest(0.0, may_repeat=value) for value in may_repeat)
    pipeline.begin_turn().start(may_repeat[0])
    return pipeline


def start_all(pipeline: Pipeline, unsent_bytes: int = 0) -> int:
    """Starts what may start before its turn, and returns the number."""
    count = 0
    while (request := pipeline.next_to_start(unsent_bytes)) is not None and request.may_repeat:
        request.start(True)
        count += 1
    return count


def test_requests_start_in_order_up_to_one_that_runs_at_most_once():
    """Guards against a request that overtakes one which must run alone."""
    assert start_all(pipeline_of(True, True, True, False, True)) == 2
    assert start_all(pipeline_of(False, True)) == 0


def test_nothing_starts_behind_a_request_that_has_not_decided():
    """Guards against a start beside a request that a new configuration lets run only once."""
    pipeline = pipeline_of(True, True, True)
    pipeline.next_to_start(0).stage = Stage.LAUNCHED
    assert pipeline.next_to_start(0) is None


def test_nothing_starts_between_turns_or_when_the_connection_closes():
    """Guards against a run whose answer the client never reads."""
    pipeline = pipeline_of(True, True, True)
    pipeline.is_closing = True
    assert pipeline.next_to_start(0) is None
    pipeline.is_closing = False
    pipeline.oldest = None
    assert pipeline.next_to_start(0) is None


def test_reading_stops_at_the_bounds():
    """Guards against memory for requests that a client sends without reading its answers."""
    pipeline = Pipeline()
    for _ in range(MAX_QUEUED_REQUESTS):
        assert pipeline.may_read
        pipeline.queue.append(PipelinedRequest(0.0, 100))
    assert not pipeline.may_read
    pipeline.begin_turn()
    assert pipeline.may_read
    pipeline.queue[0].read_bytes = MAX_QUEUED_BYTES
    assert not pipeline.may_read


def test_starts_are_bounded_by_the_answers_that_wait_and_are_expected():
    """Guards against memory for answers to a client that does not read them."""
    requests = MAX_UNSENT_ANSWER_BYTES // MIN_EXPECTED_ANSWER_BYTES
    assert start_all(pipeline_of(*[True] * 2 * requests)) == requests - 1
    assert start_all(pipeline_of(True, True), MAX_UNSENT_ANSWER_BYTES) == 0
    pipeline = pipeline_of(*[True] * 10)
    pipeline.record_answer(pipeline.oldest, MAX_UNSENT_ANSWER_BYTES // 3, 1.0)
    assert start_all(pipeline) == 2


def test_the_expected_size_of_answers_falls_again():
    """Guards against a connection that stays slow after one large answer."""
    pipeline = pipeline_of(True)
    pipeline.record_answer(pipeline.oldest, MAX_UNSENT_ANSWER_BYTES, 1.0)
    assert pipeline.expected_answer_bytes == MAX_UNSENT_ANSWER_BYTES
    for _ in range(10):
        pipeline.record_answer(pipeline.oldest, 100, 1.0)
    assert pipeline.expected_answer_bytes == MIN_EXPECTED_ANSWER_BYTES


load_tests = function_tests(__name__)
