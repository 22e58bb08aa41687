"""Tests of what an instance says of itself in its answers."""

from ibisrack.hosting.notices import InstanceNotices, Notice
from ibisrack.testing.functions import function_tests


def test_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against a limit that ends because an answer from before it arrives late."""
    notices = InstanceNotices()
    notices.observe(Notice("i-1", 1.0, limit_per_s=9.0), 1.3)
    notices.observe(Notice("i-1", 1.2), 1.4)
    assert notices.limit_per_s == 9.0
    notices.observe(Notice("i-1", 1.35), 1.5)
    assert notices.limit_per_s is None


def test_answer_of_another_instance_ends_a_limit():
    """Guards against holding a new instance to the limit of the one before it."""
    notices = InstanceNotices()
    notices.observe(Notice("i-1", 1.0, limit_per_s=9.0), 1.3)
    notices.observe(Notice("i-2", 1.2), 1.4)
    assert notices.limit_per_s is None


def test_word_of_a_peer_counts_only_until_the_instance_answers():
    """Guards against a limit that has ended and comes back because a peer still knows it."""
    notices = InstanceNotices()
    notices.learn("i-1", 9.0)
    assert notices.limit_per_s == 9.0
    notices.observe(Notice("i-1", 1.0), 1.1)
    notices.learn("i-1", 9.0)
    assert notices.limit_per_s is None


def test_word_of_a_peer_about_an_earlier_instance_is_dropped():
    """Guards against holding a new instance to the limit of the one at its address before."""
    notices = InstanceNotices()
    notices.learn("i-1", 9.0)
    notices.set_listed("i-2", 1, 2.0)
    assert notices.limit_per_s is None


def test_answer_to_an_earlier_start_does_not_make_a_new_one_leave():
    """Guards against a restarted instance that gets no requests because of its last answers."""
    notices = InstanceNotices()
    notices.set_listed("i-1", 1, 1.0)
    notices.observe(Notice("i-1", 1.5, leaving=True), 1.6)
    assert notices.leaving_start_ms == 1
    notices.set_listed("i-1", 2, 2.0)
    notices.observe(Notice("i-1", 1.9, leaving=True), 2.1)
    assert notices.leaving_start_ms is None
    notices.observe(Notice("i-1", 2.2, leaving=True), 2.3)
    assert notices.leaving_start_ms == 2


def test_late_answer_of_a_replaced_instance_says_nothing_about_its_successor():
    """Guards against a new instance that is paced, or left, at the word of an earlier one."""
    notices = InstanceNotices()
    notices.set_listed("i-1", 1, 1.0)
    notices.set_listed("i-2", 1, 2.0)
    notices.observe(Notice("i-1", 2.5, limit_per_s=1.0, leaving=True), 3.0)
    assert (notices.instance_id, notices.limit_per_s, notices.leaving_start_ms) == ("", None, None)


load_tests = function_tests(__name__)
