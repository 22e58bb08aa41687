"""The flags of ibisctl."""

from absl import flags

from ibisrack.timeline.query import MAX_REVISION

COMMON_OPTIONS = ("json", "timeout_s", "concurrency")


def define_flags() -> flags.FlagValues:
    """Returns the flags of ibisctl, with their defaults until they are parsed."""
    values = flags.FlagValues()
    target = {"flag_values": values}
    flags.DEFINE_bool("help", False, "Shows the help of ibisctl or of a command.", **target)
    flags.DEFINE_bool("json", False, "Prints JSON for programs instead of text.", **target)
    flags.DEFINE_multi_string("node", [], "Admin address IP:PORT of a node", **target)
    flags.DEFINE_float("timeout_s", 2.0, "Timeout of one request.", 0.05, 60.0, **target)
    flags.DEFINE_integer(
        "concurrency", 32, "Maximum number of concurrent requests.", 1, 256, **target
    )
    flags.DEFINE_bool("watch", False, "Repeats until interrupted.", **target)
    flags.DEFINE_float("interval_s", 2.0, "Time between repetitions.", 0.5, 3600.0, **target)
    flags.DEFINE_integer(
        "revision", None, "Shows only events that mention this revision.", 0, MAX_REVISION, **target
    )
    flags.DEFINE_string("call", "", "Shows only events of this call id, and its trace.", **target)
    flags.DEFINE_string(
        "about", "", "Shows only events recorded by this node id or about it.", **target
    )
    flags.DEFINE_string(
        "kind", "", "Shows only events of this kind, such as VersionRefused.", **target
    )
    flags.DEFINE_integer(
        "limit",
        1000,
        "Shows only this many of the newest events, 0 for all.",
        0,
        1_000_000,
        **target,
    )
    values.set_gnu_getopt(True)
    return values
