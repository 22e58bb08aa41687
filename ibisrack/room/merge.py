"""Merges the answers of nodes that may be on different sides of a partition; pure functions."""

import attrs

from ibisrack.room.fleet import FleetView, FleetZone


def merge_answers(held: FleetView | None, held_age_s: float, answer: FleetView) -> FleetView:
    """Merges an answer with the one before and keeps the freshest data of each zone.

    Args:
      held: Result of the last merge; its data may come from nodes on another side of a partition.
      held_age_s: Time since that merge.
      answer: The new answer; only its zones are kept.
    """
    held_zones = {zone.zone: zone for zone in held.zones} if held else {}
    zones = tuple(_fresher(held_zones.get(zone.zone), held_age_s, zone) for zone in answer.zones)
    versions = [view.accepted for view in (held, answer) if view and view.accepted]
    return attrs.evolve(
        answer,
        accepted=max(versions, key=lambda version: version.revision, default=None),
        members=sum(zone.members for zone in zones),
        straggler_count=sum(zone.straggler_count for zone in zones),
        zones=zones,
    )


def _fresher(held: FleetZone | None, held_age_s: float, zone: FleetZone) -> FleetZone:
    if held is None or held.age_s is None:
        return zone
    age_s = held.age_s + held_age_s
    if zone.age_s is not None and zone.age_s <= age_s:
        return zone
    return attrs.evolve(held, age_s=age_s)
