"""Outcomes of calls that are reported to callers, and the reasons for them."""

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a call ran."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a call was refused or its outcome is unknown."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "body-too-large"
    NO_ROUTE = "no-route"
    NO_VERSION = "no-version"
    NO_INSTANCE = "no-instance"
    NOT_SERVING = "not-serving"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    QUEUE_FULL = "queue-full"
    TOO_BUSY = "too-busy"
    DEADLINE = "deadline"
    SHED = "shed-by-upstream"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    CONNECTION_LOST = "connection-lost"
    INSTANCE_CRASHED = "instance-crashed"
    QUARANTINE_FULL = "quarantine-full"
    CRASHES_INSTANCES = "crashes-instances"
    PEER_RESTARTED = "peer-restarted"
    LINK_LOST = "link-lost"
    PEER_STOPPED = "peer-stopped"
    PEER_UNREACHABLE = "peer-unreachable"
    KEY_TOO_OLD = "key-too-old"
    KEY_HOME_UNREACHABLE = "key-home-unreachable"
    KEY_HOME_CHANGED = "key-home-changed"
    KEY_AHEAD = "key-ahead-of-clock"
    KEY_REUSED = "key-used-for-another-request"
    ANSWER_NOT_KEPT = "answer-not-kept"
    WRONG_ANSWER = "answer-of-another-call"
    UNDELIMITED_ANSWER = "answer-without-length"
    NEVER_RECEIVED = "never-received"
    ALREADY_RECEIVED = "already-received"
    CANCELLED = "cancelled"
    MISDIRECTED = "misdirected"
    WITHDRAWN = "withdrawn"
    LINK_FULL = "link-full"
    UPLINK_FULL = "uplink-full"
    MEMORY_FULL = "memory-full"
