"""Bounds of the numbers and addresses in messages from peers, which this node computes with.

A message outside them is malformed, like one of another encoding: the link ends, and its requests
are resumed over the next one.
"""

import ipaddress
from functools import singledispatch
from typing import Any

from ibisrack.calls.pace import MAX_RATE_PER_S
from ibisrack.errors import MessageError
from ibisrack.links.messages import (
    MAX_REPORTED_PRIORITIES,
    Answered,
    Entries,
    Follow,
    Hello,
    KnownLimit,
    Load,
    RequestEntries,
    Submit,
)
from ibisrack.registry.messages import Revision
from ibisrack.routing.holder import MAX_REPORTED_VERSION
from ibisrack.suspects.fingerprint import FINGERPRINT_BYTES
from ibisrack.suspects.messages import CrashReport, RunCompleted
from ibisrack.suspects.table import MAX_SUSPECTS_PER_CRASH

MAX_INTEGER = 2**53 - 1  # Larger integers are not exact as numbers of seconds.
MAX_COUNT = 2**31 - 1  # Of requests, slots and starts; sums of such counts stay exact.
MAX_ERA = 10**9 - 1  # The store states its era in at most nine digits.
MAX_LINK_MBPS = 1e6  # As in the settings.
MAX_EPOCH_CHARS = 64  # An epoch is a random id of 32 digits.
MIN_STATUS, MAX_STATUS = 200, 599  # Interim answers are not passed on.


@singledispatch
def check_bounds(message: Any) -> None:
    """Checks a message from a peer; messages of most types have nothing to check.

    Raises:
      MessageError: A number or an address is out of its bounds.
    """


@check_bounds.register
def _(message: Hello) -> None:
    _check_host(message.host)
    _check("length of the epoch", len(message.process_epoch), 1, MAX_EPOCH_CHARS)
    _check("bandwidth", message.link_mbps, 0, MAX_LINK_MBPS)
    _check("time of sending", message.sent_at_ms, 0, MAX_INTEGER)


@check_bounds.register
def _(message: Submit) -> None:
    _check("remaining time", message.remaining_ms, -MAX_INTEGER, MAX_INTEGER)
    _check("remaining time", message.remaining_target_ms, -MAX_INTEGER, MAX_INTEGER)
    _check("target", message.initial_target_ms, 0, MAX_INTEGER)
    _check("time of sending", message.sent_at_ms, 0, MAX_INTEGER)
    _check("expected size", message.expected_answer_bytes, 0, MAX_COUNT)


@check_bounds.register
def _(message: Answered) -> None:
    _check("status", message.status, MIN_STATUS, MAX_STATUS)
    _check("time of a run", message.ran_ms, 0, MAX_INTEGER)


@check_bounds.register
def _(message: Load) -> None:
    for count in (message.busy, message.queued, message.slots):
        _check("load", count, 0, MAX_COUNT)
    _check("service time", message.service_ms, 0, MAX_INTEGER)
    _check("starts", message.free_starts, -MAX_COUNT, MAX_COUNT)
    _check_limit(message.limit_per_s)
    if message.leaving_start_ms is not None:
        _check("start", message.leaving_start_ms, 0, MAX_INTEGER)
    _check_revision(message.revision)
    _check("version", message.configuration_version, 0, MAX_REPORTED_VERSION)
    _check("cold time", message.cold_left_ms, 0, MAX_INTEGER)
    _check("cold starts", message.cold_free_starts, 0, MAX_COUNT)
    _check_limit(message.paced_per_s)
    _check("backlog", message.link_backlog_ms, 0, MAX_INTEGER)
    _check("bandwidth", message.link_mbps, 0, MAX_LINK_MBPS)
    _check("number of priorities", len(message.queued_by_priority), 0, MAX_REPORTED_PRIORITIES)
    for priority, queued in message.queued_by_priority:
        _check("priority", priority, -MAX_INTEGER, MAX_INTEGER)
        _check("load", queued, 0, MAX_COUNT)


@check_bounds.register
def _(message: KnownLimit) -> None:
    _check_limit(message.limit_per_s)


@check_bounds.register(RequestEntries | Follow)
def _(message: RequestEntries | Follow) -> None:
    _check_revision(message.revision)


@check_bounds.register
def _(message: Entries) -> None:
    _check_revision(message.revision)
    for _, revision, base_revision, _ in message.changed:
        _check_revision(revision)
        _check_revision(base_revision)


@check_bounds.register
def _(message: CrashReport) -> None:
    _check("start", message.started_at_ms, 0, MAX_INTEGER)
    _check("age of a crash", message.age_ms, 0, MAX_INTEGER)
    _check("number of suspects", len(message.suspects), 0, MAX_SUSPECTS_PER_CRASH)
    _check("number of suspects", len(message.repeated), 0, MAX_SUSPECTS_PER_CRASH)
    for fingerprint in (*message.suspects, *message.repeated):
        _check_fingerprint(fingerprint)


@check_bounds.register
def _(message: RunCompleted) -> None:
    _check_fingerprint(message.fingerprint)


def _check(name: str, value: float, low: float, high: float) -> None:
    """Checks a number; one that is no number is in no range."""
    if not low <= value <= high:
        raise MessageError(f"{name} of {value} is out of range")


def _check_fingerprint(fingerprint: bytes) -> None:
    _check("length of a fingerprint", len(fingerprint), FINGERPRINT_BYTES, FINGERPRINT_BYTES)


def _check_limit(limit_per_s: float | None) -> None:
    if limit_per_s is not None:
        _check("limit", limit_per_s, 0, MAX_RATE_PER_S)


def _check_revision(revision: Revision) -> None:
    _check("era", revision.era, 0, MAX_ERA)
    _check("revision", revision.number, 0, MAX_INTEGER)


def _check_host(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise MessageError("the host of a peer is no IP number") from error
    if "%" in host:
        raise MessageError("the host of a peer has a scope")
