"""Holds the configuration in force and never replaces it by an older one."""

from enum import Enum, auto

import attrs

from ibisrack.routing.model import Configuration
from ibisrack.routing.table import RouteTable, build_table, priorities_by_service

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
      priorities: Priorities of the routes that use each service, by its name.
    """

    current: Configuration | None = None
    table: RouteTable = RouteTable({})
    priorities: dict[str, frozenset[int]] = attrs.field(factory=dict)

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

    def may_repeat(self, host: str, path: str) -> bool:
        """Returns whether a request may run more than once; one without a route may not.

        Args:
          host: Value of the Host header.
          path: Path of the request without its query, unchanged.
        """
        route = self.table.find(host, path)
        return route is not None and route.idempotent

    def offer(self, configuration: Configuration) -> OfferResult:
        """Puts a configuration in force if it is newer than the current one."""
        if configuration.version == self.version:
            return OfferResult.ALREADY_IN_FORCE
        if configuration.version < self.version:
            return OfferResult.OLDER
        table, priorities = build_table(configuration), priorities_by_service(configuration)
        self.current, self.table, self.priorities = configuration, table, priorities
        return OfferResult.IN_FORCE
