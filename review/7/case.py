"""The store cuts watches that wait, and an instance that never reports draining leaves."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet  # noqa: E402

DRAIN_S = 2.0  # terms.bounds.drain
SERVES_ON_S = 3.0  # "drain ... and a little longer"
ORDER_WORK_S = 1.0
CUT_AFTER_S = 0.5  # A watch that has waited so long is cut.
CALM_S = 4.0  # Longer than stable_window.
ORDERS = 12
GONE = 1  # Index of the machine whose instance leaves.


async def start_fleet(record: fleet.Record, store: fleet.Store, folder: Path):
    """Starts three machines in three zones; two of them run the service of the orders."""
    ports = fleet.free_ports()
    sidecars, instances = [], []
    for number, service in enumerate(("desk", "orders", "orders"), 1):
        host, zone = f"127.0.0.{number}", f"zone-{number}"
        instance = fleet.Instance(record, f"i-{number}", service, zone, host, ports.app)
        instance.work_s, instance.slots = ORDER_WORK_S, 16
        await instance.start()
        store.put(f"servers/{instance.instance_id}", instance.entry())
        sidecar = fleet.Sidecar(
            f"m-{number}", host, zone, service, ports, store.address, folder, record
        )
        instances.append(instance)
        sidecars.append(sidecar)
    return sidecars, instances


async def case(record: fleet.Record, folder: Path) -> bool:
    """Returns whether requests reached the instance later than ``drain`` after its removal."""
    store = fleet.Store(record)
    await store.start("127.0.0.1")
    routes = [
        fleet.route("/orders/", "non_idempotent", "orders", timeout="5000ms"),
        fleet.route("/desk/", "idempotent", "desk"),
    ]
    store.put("op/config", fleet.configuration(1, routes, ["orders", "desk"]))
    sidecars, instances = await start_fleet(record, store, folder)
    try:
        for sidecar in sidecars:
            await sidecar.start()
        for sidecar in sidecars:
            await sidecar.wait_until_ready()
        await fleet.call(sidecars[0], record, "POST", "/orders/1", "before-0")
        if fleet.has_trouble():
            record.write(f"from here on the store cuts a watch that has waited {CUT_AFTER_S} s")
            store.cut_after_s = CUT_AFTER_S
        await asyncio.sleep(CALM_S)
        store.delete(f"servers/{instances[GONE].instance_id}")
        removed_s = record.now_s()
        instances[GONE].leaving = True
        await asyncio.sleep(DRAIN_S + 0.3)
        orders = [
            asyncio.create_task(
                fleet.call(sidecars[n % 2], record, "POST", "/orders/1", f"order-{n}")
            )
            for n in range(ORDERS)
        ]
        await asyncio.sleep(removed_s + SERVES_ON_S - record.now_s())
        record.write(f"{instances[GONE].instance_id} exits")
        instances[GONE].stop()
        outcomes = await asyncio.gather(*orders)
        late = [run for run in instances[GONE].runs if run.arrived_s > removed_s + DRAIN_S]
        for run in late:
            after_s = run.arrived_s - removed_s
            lost = "" if run.answered_s else ", lost with the exit"
            record.write(f"{run.request_id} arrived {after_s:.2f} s after the removal{lost}")
        unserved = sum(outcome != "200" for outcome in outcomes)
        print(f"late arrivals {len(late)}, orders without success {unserved}, cuts {store.cuts}")
        return bool(late)
    finally:
        for sidecar in sidecars:
            await sidecar.end()


sys.exit(fleet.run_case(FOLDER, case))
