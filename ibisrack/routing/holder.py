"""Holds the configuration in force and never replaces it by an older one."""

from enum import Enum, auto

import attrs

from ibisrack.routing.model import Configuration
from ibisrack.routing.table import RouteTable, build_table

MAX_REPORTED_VERSION = 2**63 - 1  # Messages to peers carry integers of 64 bits.


class OfferResult(Enum):
    """Result of offering a configuration."""

    IN_FORCE = auto()
    ALREADY_IN_FORCE = auto()
    OLDER = auto()


@attrs.define
class ConfigurationHolder:
    """Holder of the configuration in force.

    Attributes:
      current: Configuration in force, None before the first one.
      table: Routes of the configuration.
    """

    current: Configuration | None = None
    table: RouteTable = RouteTable({})

    @property
    def version(self) -> int:
        """Version number of the configuration in force, 0 before the first one."""
        return self.current.version if self.current else 0

    @property
    def reported_version(self) -> int:
        """Version of the configuration in force as peers are told."""
        return min(self.version, MAX_REPORTED_VERSION)

    def is_older_than(self, reported_version: int) -> bool:
        """Returns whether a peer that reports a version has a later configuration in force."""
        return self.reported_version < reported_version

    def offer(self, configuration: Configuration) -> OfferResult:
        """Puts a configuration in force if it is newer than the current one."""
        if configuration.version == self.version:
            return OfferResult.ALREADY_IN_FORCE
        if configuration.version < self.version:
            return OfferResult.OLDER
        table = build_table(configuration)
        self.current, self.table = configuration, table
        return OfferResult.IN_FORCE
