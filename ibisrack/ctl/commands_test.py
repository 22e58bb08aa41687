"""Tests of the command line of ibisctl."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.ctl.commands import COMMANDS, CheckConfig, Command, Options
from ibisrack.ctl.main import run_command_line
from ibisrack.ctl.options import define_flags
from ibisrack.ctl.parse import UsageError, parse_command_line
from ibisrack.ctl.run import run_command
from ibisrack.standins.store import serve_store
from ibisrack.testing.fixtures import PILBARA_RULES
from ibisrack.testing.functions import function_tests
from ibisrack.testing.fuzz import fuzz
from ibisrack.testing.sidecars import STANDARD_ROUTES, configuration_entry, route_resource


def _usage_error(*words: str) -> str:
    try:
        parse_command_line(list(words))
    except UsageError as error:
        return str(error)
    raise AssertionError(f"accepted {words}")


def _run(*words: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run_command_line(list(words))
    return code, out.getvalue(), err.getvalue()


@contextlib.contextmanager
def _files(*contents: bytes):
    with tempfile.TemporaryDirectory() as folder:
        paths = [Path(folder) / f"rules-{number}.txt" for number in range(len(contents))]
        for path, content in zip(paths, contents, strict=True):
            path.write_bytes(content)
        yield [str(path) for path in paths]


def test_usage_errors_name_the_faulty_part():
    """Guards against usage errors that do not say which argument or option to correct."""
    assert "no command" in _usage_error()
    assert "unknown command 'chek'" in _usage_error("chek")
    assert "usage: ibisctl diff OLD_FILE NEW_FILE" in _usage_error("diff", "a")
    assert "METHOD" in _usage_error("explain", "get", "h/p", "f")
    assert "REQUEST" in _usage_error("explain", "GET", "h h", "f")
    assert "IP:PORT" in _usage_error("drain", "host:1")
    assert "needs at least one --node" in _usage_error("fleet")
    assert "takes no --watch" in _usage_error("check", "f", "--watch")
    assert "--timeout_s" in _usage_error("version", "--timeout_s=0")


def test_configuration_is_checked_before_it_is_published():
    """Guards against a check whose exit status or output a script can't use."""
    good = configuration_entry(12, *STANDARD_ROUTES)
    older = configuration_entry(11, STANDARD_ROUTES[0])
    bad = configuration_entry(13, route_resource(timeout="soon"))
    with _files(good, older, bad) as (good_file, older_file, bad_file):
        assert _run("check-config", good_file, "-")[0] == 0
        code, out, _ = _run("check-config", "--json", good_file, older_file)
        changes = [d for d in json.loads(out)["differences"] if d["action"] == "added"]
        assert code == 0 and len(changes) == len(STANDARD_ROUTES) - 1
        code, out, _ = _run("check-config", older_file, good_file)
        assert code == 1 and "version 11 is not above version 12" in out
        code, out, _ = _run("check-config", "--json", bad_file, good_file)
        assert code == 1 and "'soon'" in json.loads(out)["errors"][0]
        assert _run("check-config", good_file, bad_file)[0] == 3
        assert _run("check-config", good_file, "127.0.0.1:1")[0] == 3


async def test_configuration_in_force_is_read_from_the_store():
    """Guards against differences from another version than the one in force."""
    async with serve_store("127.0.0.1") as (store, port):
        store.put("op/config", configuration_entry(12, *STANDARD_ROUTES))
        with _files(configuration_entry(13, *STANDARD_ROUTES)) as (file,):
            result = await run_command(CheckConfig(file, f"127.0.0.1:{port}"), Options())
    assert result.exit_code == 0 and result.data["differences"] == [], result


def _line(at: str, node: str, message: str, request_id: str) -> str:
    stamp = f"2026-12-04T10:00:{at}+00:00"
    fields = {"timestamp": stamp, "node": node, "message": message, "request_id": request_id}
    return json.dumps({**fields, "levelname": "INFO", "tried": ["i-1 200"]}) + "\n"


def test_follow_merges_the_lines_of_a_request_from_several_logs():
    """Guards against a request whose lines are found in the log of one node only."""
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "a.log").write_text(
            "built\n" + _line("01.200", "a", "request served", "q") + _line("01.300", "a", "x", "p")
        )
        # The clock was set back between the two lines of this process.
        Path(folder, "b.log").write_text(
            _line("01.150", "b", "submission ran", "q") + _line("00.100", "b", "peer left", "q")
        )
        code, text, _ = _run("follow", "q", folder)
        assert code == 0
        assert [line.split()[2] for line in text.splitlines()] == ["submission", "peer", "request"]
        assert "tried=[" in text and "levelname" not in text
        code, text, _ = _run("follow", "r", folder)
        assert code == 1 and "no line names the request r" in text


def test_every_command_has_help_with_its_options():
    """Guards against options that a command accepts but its help does not list."""
    for name, cls in COMMANDS.items():
        text = parse_command_line([name, "--help"])
        assert text.startswith(f"ibisctl {name}") and "Exit codes" in text
        assert all(f"--{option}" in text for option in cls.OPTIONS)


def test_exit_codes_of_commands_on_files():
    """Guards against scripts that take a faulty, changed or missing file for a good one."""
    with _files(PILBARA_RULES, PILBARA_RULES.replace(b"=40", b"=35"), b"nonsense\n") as paths:
        good, changed, bad = paths
        assert _run("check", good)[0] == 0
        code, out, _ = _run("check", bad, "--json")
        assert code == 1 and json.loads(out)["faults"][0]["line"] == 1
        assert _run("diff", good, good)[0] == 0
        code, out, _ = _run("diff", good, changed)
        assert code == 1 and "share_percent 40 -> 35" in out and "asked by Mei Tan" in out
        assert _run("diff", good, bad)[0] == 1
        assert _run("explain", "GET", "notice-desk/approvals", good)[0] == 0
        assert _run("explain", "GET", "notice-desk/nothing", good)[0] == 1
        assert _run("check", good + "-missing")[0] == 2


def test_unreachable_node_gives_exit_code_3():
    """Guards against a script that takes an unreachable node for a healthy one."""
    for words in (("version",), ("fleet",), ("timeline",)):
        code, _, err = _run(*words, "--node=127.0.0.1:1", "--timeout_s=0.5")
        assert code == 3, words
        assert words[0] == "fleet" or "127.0.0.1:1: refused the connection" in err
    assert _run("drain", "127.0.0.1:1")[0] == 3


_FLAGS = st.sampled_from([f"--{name}" for name in define_flags()])
_WORDS = st.one_of(
    st.sampled_from([*COMMANDS, "GET", "h/p", "127.0.0.1:1", "--", "-", "--no", "=", "\x00"]),
    _FLAGS,
    st.tuples(_FLAGS, st.text(max_size=8)).map("=".join),
    st.text(max_size=8),
)


@fuzz(1000)
@given(st.lists(_WORDS, max_size=6))
def test_any_command_line_is_parsed_or_refused(words):
    """Guards against other exceptions than UsageError for an invalid command line."""
    try:
        parsed = parse_command_line(words)
    except UsageError as error:
        assert str(error)
        return
    assert isinstance(parsed, str) or isinstance(parsed[0], Command)


load_tests = function_tests(__name__)
