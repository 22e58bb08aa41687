"""Settings of the processes of a fleet on loopback."""

from bench.deployments import Deployment
from bench.processes import HOST, Process


def node_settings(deployment: Deployment, ports: list[int], platform_port: int) -> list[dict]:
    """Returns the settings of every node of a deployment.

    Args:
      deployment: The deployment.
      ports: Four ports for each node.
      platform_port: Port of the platform stand-in.
    """
    zones = list(deployment.regions)
    instances = [(plan, number) for plan in deployment.services for number in range(plan.instances)]
    nodes = []
    for index, (plan, number) in enumerate(instances):
        zone = zones[index % len(zones)]
        call, peer, admin, upstream = ports[4 * index : 4 * index + 4]
        nodes.append(
            {
                "identity": {
                    "node_id": f"{plan.service}-{number}",
                    "service": plan.service,
                    "zone": zone,
                    "region": deployment.regions[zone],
                },
                "listen": {
                    "host": HOST,
                    "call_port": call,
                    "peer_port": peer,
                    "admin_port": admin,
                },
                "upstream": {"base_url": f"http://{HOST}:{upstream}"},
                "platform": {"base_url": f"http://{HOST}:{platform_port}"},
            }
        )
    _add_seeds(nodes)
    return nodes


def _add_seeds(nodes: list[dict]) -> None:
    """Sets the seeds of every node to the first two nodes of each zone."""
    by_zone: dict[str, list[str]] = {}
    for node in nodes:
        address = f"{HOST}:{node['listen']['peer_port']}"
        by_zone.setdefault(node["identity"]["zone"], []).append(address)
    seeds = [address for addresses in by_zone.values() for address in addresses[:2]]
    for node in nodes:
        node["exchange"] = {"seeds": seeds}


def upstream_process(settings: dict, slots: int, work_ms: float, extra_settings: dict) -> Process:
    """Returns the upstream stand-in of a node.

    Args:
      settings: Settings of the node.
      slots: Slots of the instance.
      work_ms: Duration of a call, unless the request sets one.
      extra_settings: Additional settings of the stand-in.
    """
    instance = settings["identity"]["node_id"]
    port = int(settings["upstream"]["base_url"].rpartition(":")[2])
    common = {"host": HOST, "port": port, "instance": instance, "slots": slots, "work_ms": work_ms}
    return Process(
        f"upstream-{instance}", "ibisrack.bin.ibis_standin_upstream", common | extra_settings
    )
