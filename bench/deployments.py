"""The customers' present deployments, as started by the benchmarks and the demo."""

import attrs

from ibisrack.testing.fixtures import CHAPA_MAYA_RULES, PILBARA_RULES


@attrs.frozen
class ServicePlan:
    """A service of a deployment.

    Attributes:
      service: Name of the service.
      instances: Number of instances.
      slots: Slots of each instance.
    """

    service: str
    instances: int
    slots: int


@attrs.frozen
class Deployment:
    """Zones, services and rules of one customer.

    Attributes:
      name: Name of the deployment.
      regions: Region of each zone, by zone.
      services: Services; their instances are assigned to the zones round-robin.
      rules: Content of the rules file.
    """

    name: str
    regions: dict[str, str]
    services: tuple[ServicePlan, ...]
    rules: bytes


PILBARA = Deployment(
    name="pilbara",
    regions={"karratha": "wa-north", "port-hedland": "wa-north", "newman": "wa-north"},
    services=(ServicePlan("notice-desk", 5, 6), ServicePlan("route-docs", 4, 6)),
    rules=PILBARA_RULES,
)

CHAPA_MAYA = Deployment(
    name="chapa-maya",
    regions={f"gt-central-{letter}": "gt-central" for letter in "abc"},
    services=(ServicePlan("tienda", 6, 12), ServicePlan("archivo", 4, 12)),
    rules=CHAPA_MAYA_RULES,
)


def wide_deployment(zones: int, nodes_per_zone: int, rules: bytes) -> Deployment:
    """Returns a deployment of many zones in three regions, with one service for each zone.

    Args:
      zones: Number of zones, a multiple of 3.
      nodes_per_zone: Nodes in each zone.
      rules: Content of the rules file, which must declare service-0000, service-0001 and so on.
    """
    regions = {f"zone-{z:02d}": f"region-{z % 3}" for z in range(zones)}
    services = tuple(ServicePlan(f"service-{z:04d}", nodes_per_zone, 8) for z in range(zones))
    return Deployment("wide", regions, services, rules)
