"""Tests of the log of control events."""

import io
import json
import logging

from pythonjsonlogger.json import JsonFormatter

from ibisrack.testing.functions import function_tests
from ibisrack.timeline.control_log import _LOGGER, log_control_event
from ibisrack.timeline.events import CallFinished, VersionRefused
from ibisrack.timeline.log import EventLog


def test_control_events_are_logged_as_json_lines_and_calls_are_not():
    """Guards against a log whose volume grows with the number of calls."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter("%(message)s"))
    level, disabled = _LOGGER.level, logging.root.manager.disable
    _LOGGER.addHandler(handler)
    _LOGGER.setLevel(logging.INFO)
    logging.disable(logging.NOTSET)
    try:
        log = EventLog("n1", 10)
        log_control_event(log.record(VersionRefused(6, "d", ("f:9: bad\nline",)), 5))
        call = CallFinished("c", "ingress", "s", "r", 1, "A", "done", "", "n1", 3, 1.0)
        log_control_event(log.record(call, 6))
    finally:
        _LOGGER.removeHandler(handler)
        _LOGGER.setLevel(level)
        logging.disable(disabled)
    (line,) = stream.getvalue().splitlines()
    entry = json.loads(line)
    assert (entry["message"], entry["event"]["revision"]) == ("VersionRefused", 6)
    assert (entry["node_id"], entry["wall_ms"]) == ("n1", 5)


load_tests = function_tests(__name__)
