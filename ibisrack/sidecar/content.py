"""Applies the registry's entries to the instances and the configuration that a node knows."""

import logging
from collections.abc import Callable
from typing import Protocol

import attrs

from ibisrack.clocks import read_monotonic_s
from ibisrack.dispatch.choice import InstanceViews
from ibisrack.errors import MessageError
from ibisrack.instances.directory import InstanceDirectory
from ibisrack.instances.model import Instance
from ibisrack.registry.messages import MAX_LOGGED_KEY_CHARS, Entry
from ibisrack.routing.holder import ConfigurationHolder, OfferResult
from ibisrack.routing.model import Configuration

_LOGGER = logging.getLogger("ibisrack.sidecar")


class EntryDecoder(Protocol):
    """Decodes entries of the platform's registry."""

    CONFIGURATION_KEY: str

    def instance_id(self, key: str) -> str:
        """Returns the instance id in a key, empty if it is not the key of an instance."""

    def evacuated_zone(self, key: str) -> str:
        """Returns the zone that a key evacuates, empty if it is the key of something else."""

    def decode_instance(self, entry: Entry) -> Instance:
        """Returns the instance in an entry; raises MessageError if it is not valid."""

    def decode_configuration(self, entry: Entry) -> Configuration:
        """Returns the configuration in an entry; raises MessageError if it is not valid."""


@attrs.define(eq=False)
class RegistryContent:
    """What the registry's entries mean to a node.

    Attributes:
      decoder: Decodes entries.
      directory: Known instances.
      configurations: Holder of the configuration in force.
      views: Runtime state of the instances.
      latest_refused: Whether the configuration that the registry lists was refused.
    """

    decoder: EntryDecoder
    directory: InstanceDirectory
    configurations: ConfigurationHolder
    views: InstanceViews
    latest_refused: bool = False

    def apply(self, entries: tuple[Entry, ...]) -> None:
        """Applies changed entries."""
        self._apply_entries(entries, self.directory.put, self.directory.end_evacuation)

    def apply_restored(self, entries: tuple[Entry, ...]) -> None:
        """Applies the entries of a registry that was restored from an earlier copy of itself.

        What the copy lacks, or lists as it was before, is written again a moment later.
        """
        self.directory.mark_recovered(read_monotonic_s())
        put_instance, unlist_zone = self.directory.put_restored, self.directory.lapse_evacuation
        self._apply_entries(entries, put_instance, unlist_zone)

    def _apply_entries(
        self,
        entries: tuple[Entry, ...],
        put_instance: Callable[[Instance], bool],
        unlist_zone: Callable[[str], bool],
    ) -> None:
        now_s = read_monotonic_s()
        for entry in entries:
            if entry.key == self.decoder.CONFIGURATION_KEY:
                self._apply_configuration(entry)
            elif instance_id := self.decoder.instance_id(entry.key):
                self._apply_instance(instance_id, entry, put_instance, now_s)
            elif zone := self.decoder.evacuated_zone(entry.key):
                self._apply_evacuation(zone, entry, unlist_zone)

    def _apply_configuration(self, entry: Entry) -> None:
        if entry.content is None:
            _LOGGER.warning("configuration removed; the one in force is kept")
            return
        try:
            configuration = self.decoder.decode_configuration(entry)
        except MessageError as error:
            self.latest_refused = True
            extra = _describe(entry, error) | {"in_force": self.configurations.version}
            _LOGGER.error("configuration refused", extra=extra)
            return
        self.latest_refused = False
        offer_result = self.configurations.offer(configuration)
        extra = {"version": configuration.version, "revision": str(entry.revision)}
        if offer_result is OfferResult.IN_FORCE:
            _LOGGER.info("configuration in force", extra=extra)
            if configuration.unknown_kinds:
                extra = extra | {"kinds": configuration.unknown_kinds}
                _LOGGER.warning("unknown kinds of routes, served at most once", extra=extra)
        else:
            _LOGGER.info("configuration not newer", extra=extra)

    def _apply_evacuation(
        self, zone: str, entry: Entry, unlist_zone: Callable[[str], bool]
    ) -> None:
        """Applies the key of an evacuated zone, whatever its content."""
        extra = {"zone": zone[:MAX_LOGGED_KEY_CHARS], "revision": str(entry.revision)}
        if entry.content is not None:
            if self.directory.begin_evacuation(zone):
                _LOGGER.info("zone evacuated", extra=extra)
        elif unlist_zone(zone):
            _LOGGER.info("zone evacuation ended", extra=extra | {"why": "removed"})
        else:
            _LOGGER.info("zone evacuation not listed", extra=extra)

    def _apply_instance(
        self,
        instance_id: str,
        entry: Entry,
        put_instance: Callable[[Instance], bool],
        now_s: float,
    ) -> None:
        if entry.content is None:
            gone = self.directory.remove(instance_id, now_s)
            extra = {"instance": instance_id, "revision": str(entry.revision), "gone": gone}
            _LOGGER.info("instance not listed", extra=extra)
            return
        try:
            instance = self.decoder.decode_instance(entry)
        except MessageError as error:
            _LOGGER.warning("entry ignored", extra=_describe(entry, error))
            self.directory.remove(instance_id, now_s)
            return
        if put_instance(instance):
            self.views.of(instance_id).cold_until_s = now_s + instance.cold_left_s
            extra = {
                "instance": instance_id,
                "service": instance.service,
                "state": instance.state,
                "revision": str(entry.revision),
            }
            _LOGGER.info("instance listed", extra=extra)


def _describe(entry: Entry, error: MessageError) -> dict[str, object]:
    """Returns the fields of a log line about an entry that can't be decoded."""
    return {
        "key": entry.key[:MAX_LOGGED_KEY_CHARS],
        "revision": str(entry.revision),
        "error": str(error),
    }
