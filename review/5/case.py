"""A configuration with a time of many digits never comes into force."""

import asyncio
import time
from pathlib import Path

from review.common.clients import Clients, Result
from review.common.fleet import Fleet, Machine, configuration, route, small_fleet
from review.common.main import run_case
from review.common.record import Record

SERVICES = ("tienda", "tienda", "archivo", "archivo")
ZONES = ("gt-central-a", "gt-central-b")
CONFIG_APPLY_S = 2.0
SETTLED_S = 4.0  # The machines are in touch; nothing but the change happens.
TRAFFIC_S = 12.0
TIMEOUT = "2.3333333333333335s"  # Seven thirds of a second, as programs print them.
PLAIN_TIMEOUT = "2.333s"


def _routes(service: str, timeout: str) -> list[dict]:
    return [
        route("consulta", "/consulta/", service, timeout=timeout),
        route("pedido", "/pedido/", "tienda", kind="non_idempotent"),
    ]


async def case(record: Record, folder: Path, with_trouble: bool) -> bool:
    """Returns whether requests run at the old service after the bound."""
    services = ("tienda", "archivo")
    first = configuration(1, _routes("tienda", "2000ms"), services)
    timeout = TIMEOUT if with_trouble else PLAIN_TIMEOUT
    async with small_fleet(SERVICES, ZONES, record, folder, configuration=first) as fleet:
        await asyncio.sleep(SETTLED_S)
        fleet.store.put("op/config", configuration(2, _routes("archivo", timeout), services))
        acknowledged_at_s = time.monotonic()
        record.write("acknowledged", version="00000002", timeout=timeout)
        clients, late = Clients(fleet), []
        async with asyncio.TaskGroup() as group:
            for machine in fleet.machines:
                group.create_task(_send(clients, machine, acknowledged_at_s, late))
        by_old_service = [result for result in late if _ran_at(fleet, result, "tienda")]
        record.write("summary", late=len(late), by_old_service=len(by_old_service))
        if not late:
            raise RuntimeError("no request after the bound")
        return bool(by_old_service)


async def _send(
    clients: Clients, machine: Machine, acknowledged_at_s: float, late: list[Result]
) -> None:
    """Sends requests on the route that has moved; collects those sent after the bound."""
    while (after_s := time.monotonic() - acknowledged_at_s) < TRAFFIC_S:
        result = await clients.send(machine, "GET", "/consulta/1")
        if after_s > CONFIG_APPLY_S:
            late.append(result)
        await asyncio.sleep(0.2)


def _ran_at(fleet: Fleet, result: Result, service: str) -> bool:
    return any(
        result.request_id in machine.instance.runs
        for machine in fleet.machines
        if machine.service == service
    )


if __name__ == "__main__":
    run_case(case, __file__)
