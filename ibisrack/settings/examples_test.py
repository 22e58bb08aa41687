"""Tests of the example files and of the settings page."""

import re
from pathlib import Path

from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.settings.document import render_page
from ibisrack.settings.loader import load_settings
from ibisrack.settings.node import NodeSettings
from ibisrack.settings.room import RoomSettings
from ibisrack.testing.functions import function_tests

DEPLOYMENTS = ("pilbara", "chapa-maya")


def test_examples_are_valid():
    """Guards against examples that the processes would refuse or that do not fit together."""
    for name in DEPLOYMENTS:
        folder = Path("examples") / name
        rules = parse_rule_set((folder / "rules.txt").read_bytes(), "rules.txt")
        load_settings(str(folder / "room.json"), RoomSettings)
        nodes = [load_settings(str(p), NodeSettings) for p in sorted(folder.glob("node-*.json"))]
        assert len({node.identity.zone for node in nodes}) == 3
        assert len({node.identity.node_id for node in nodes}) == 3
        assert {node.identity.service for node in nodes} <= set(rules.services)


def test_settings_page_matches_the_classes():
    """Guards against a page that was not regenerated after a change of the classes."""
    written = Path("docs/settings.md").read_text()
    assert written == render_page(), "run: python -m ibisrack.settings.document > docs/settings.md"


def test_every_field_has_a_description():
    """Guards against settings that the page lists without their meaning."""
    for row in re.findall(r"^\| `.*$", render_page(), flags=re.M):
        assert row.split("|")[5].strip(), row


load_tests = function_tests(__name__)
