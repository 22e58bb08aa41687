"""Holds the configuration in force and keeps it from moving back."""

from enum import Enum, auto

import attrs

from ibisrack.routing.model import Configuration
from ibisrack.routing.table import RouteTable, build_table


class Verdict(Enum):
    """What became of an offered configuration."""

    IN_FORCE = auto()
    KNOWN = auto()
    OLDER = auto()


@attrs.define
class ConfigurationHolder:
    """The configuration in force.

    Attributes:
      current: The configuration, None before the first.
      table: Its routes.
    """

    current: Configuration | None = None
    table: RouteTable = RouteTable({})

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def offer(self, configuration: Configuration) -> Verdict:
        """Puts a configuration in force unless it is not newer than the present one."""
        if configuration.version == self.version:
            return Verdict.KNOWN
        if configuration.version < self.version:
            return Verdict.OLDER
        table = build_table(configuration)
        self.current, self.table = configuration, table
        return Verdict.IN_FORCE
