"""The flags of ibisctl."""

from absl import flags

from ibisrack.timeline.query import MAX_REVISION

COMMON_OPTIONS = ("json", "timeout_s", "concurrency")


def define_flags() -> flags.FlagValues:
    """Returns the flags of ibisctl, not yet parsed."""
    values = flags.FlagValues()
    define = {"flag_values": values}
    flags.DEFINE_bool("help", False, "Shows the help of ibisctl or of a command.", **define)
    flags.DEFINE_bool("json", False, "Prints JSON for programs instead of text.", **define)
    flags.DEFINE_multi_string("node", [], "Admin address IP:PORT; may be repeated.", **define)
    flags.DEFINE_float("timeout_s", 2.0, "Time for one answer.", 0.05, 60.0, **define)
    flags.DEFINE_integer("concurrency", 32, "Nodes asked at a time.", 1, 256, **define)
    flags.DEFINE_bool("watch", False, "Repeats until interrupted.", **define)
    flags.DEFINE_float("interval_s", 2.0, "Time between repetitions.", 0.5, 3600.0, **define)
    flags.DEFINE_integer("revision", None, "Revision to show.", 0, MAX_REVISION, **define)
    flags.DEFINE_string("call", "", "Call id to show.", **define)
    flags.DEFINE_string("about", "", "Id of the node to show.", **define)
    flags.DEFINE_string("kind", "", "Kind of event, such as VersionRefused.", **define)
    flags.DEFINE_integer("limit", 1000, "Newest events to show, 0 for all.", 0, 1_000_000, **define)
    values.set_gnu_getopt(True)
    return values
