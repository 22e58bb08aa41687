"""Joins the answers of nodes that may be on different sides of a partition; pure functions."""

import attrs

from ibisrack.room.fleet import FleetView, ZoneView


def freshest(held: FleetView | None, held_age_s: float, answer: FleetView) -> FleetView:
    """Joins an answer with the one before; for each zone of the answer the freshest data is kept.

    Args:
      held: The answer before, perhaps of a node on another side of a partition.
      held_age_s: Its age.
      answer: The new answer, which names the zones.
    """
    before = {zone.zone: zone for zone in held.zones} if held else {}
    zones = tuple(_fresher(before.get(zone.zone), held_age_s, zone) for zone in answer.zones)
    versions = [view.accepted for view in (held, answer) if view and view.accepted]
    return attrs.evolve(
        answer,
        accepted=max(versions, key=lambda version: version.revision, default=None),
        members=sum(zone.members for zone in zones),
        straggler_count=sum(zone.straggler_count for zone in zones),
        zones=zones,
    )


def _fresher(held: ZoneView | None, held_age_s: float, zone: ZoneView) -> ZoneView:
    if held is None or held.age_s is None:
        return zone
    age_s = held.age_s + held_age_s
    if zone.age_s is not None and zone.age_s <= age_s:
        return zone
    return attrs.evolve(held, age_s=age_s)
