"""Tests of the example settings and of the settings page."""

import re
from pathlib import Path

from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.settings.document import page
from ibisrack.settings.loader import load_settings
from ibisrack.settings.node import NodeSettings
from ibisrack.settings.room import RoomSettings
from ibisrack.testing.functions import function_tests

DEPLOYMENTS = ("pilbara", "chapa-maya")


def test_examples_load():
    """Guards against examples that the processes would refuse."""
    for name in DEPLOYMENTS:
        folder = Path("examples") / name
        rules = parse_rule_set((folder / "rules.txt").read_bytes(), "rules.txt")
        load_settings(str(folder / "room.json"), RoomSettings)
        nodes = [load_settings(str(p), NodeSettings) for p in sorted(folder.glob("node-*.json"))]
        assert len({node.identity.zone for node in nodes}) == 3
        assert len({node.identity.node_id for node in nodes}) == 3
        assert {node.identity.service for node in nodes} <= set(rules.services)


def test_settings_page_matches_the_classes():
    """Guards against a page that is out of date."""
    written = Path("docs/settings.md").read_text()
    assert written == page(), "run: python -m ibisrack.settings.document > docs/settings.md"


def test_every_field_has_a_text():
    for row in re.findall(r"^\| `.*$", page(), flags=re.M):
        assert row.split("|")[5].strip(), row


load_tests = function_tests(__name__)
