"""The machine that reads the store for its zone is partitioned from it, and an instance drains."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

import fleet  # noqa: E402

DRAIN_S = 2.0  # terms.bounds.drain
SERVES_ON_S = 3.0  # "drain ... and a little longer"
CUT_S = 5.5  # for_s of core_cut in the site file.
ORDER_WORK_S = 1.0
CALM_S = 5.0  # Longer than stable_window.
MACHINES = 9
ZONES = ("zone-a", "zone-b", "zone-c")
ORDERS = 12
ORDERS_BEFORE = 4  # At each machine, one after the other.


async def find_reader(gates: list[fleet.StoreGate]) -> int:
    """Returns the machine of the first zone that watches the store, when a watch has just begun."""
    first_zone = range(0, MACHINES, len(ZONES))
    async with asyncio.timeout(10.0):
        while True:
            for index in first_zone:
                if time.monotonic() - gates[index].watch_at_s < 0.05:
                    return index
            await asyncio.sleep(0.01)


async def case(record: fleet.Record, folder: Path) -> bool:
    """Returns whether orders reached the instance later than ``drain`` after it drained."""
    store = fleet.Store(record)
    await store.start("127.0.0.1")
    routes = [fleet.route("/orders/", "non_idempotent", "orders", timeout="5000ms")]
    store.put("op/config", fleet.configuration(1, routes, ["orders"]))
    ports, sidecars, instances, gates = fleet.free_ports(), [], [], []
    try:
        for index in range(MACHINES):
            number, zone = index + 1, ZONES[index % len(ZONES)]
            host = f"127.0.0.{number}"
            instance = fleet.Instance(record, f"i-{number}", "orders", zone, host, ports.app)
            instance.work_s, instance.slots = ORDER_WORK_S, 16
            await instance.start()
            store.put(f"servers/{instance.instance_id}", instance.entry())
            gate = fleet.StoreGate(store)
            await gate.start("127.0.0.1")
            sidecar = fleet.Sidecar(
                f"m-{number}", host, zone, "orders", ports, gate.address, folder, record
            )
            await sidecar.start()
            instances.append(instance)
            gates.append(gate)
            sidecars.append(sidecar)
        for sidecar in sidecars:
            await sidecar.wait_until_ready()
        for number in range(ORDERS_BEFORE):
            calls = (
                fleet.call(sidecar, record, "POST", "/orders/1", f"before-{index}-{number}")
                for index, sidecar in enumerate(sidecars)
            )
            await asyncio.gather(*calls)
        await asyncio.sleep(CALM_S)
        reader = await find_reader(gates)
        others = [index for index in range(0, MACHINES, len(ZONES)) if index != reader]
        leaver = instances[others[0]]
        record.write(f"m-{reader + 1} reads for {ZONES[0]}")
        if fleet.has_trouble():
            record.write(f"m-{reader + 1} is partitioned from the store for {CUT_S} s")
            gates[reader].cut()
            asyncio.get_running_loop().call_later(CUT_S, gates[reader].heal)
        leaver.sequence += 1
        leaver.leaving = True
        store.put(f"servers/{leaver.instance_id}", leaver.entry("draining"))
        drained_s = record.now_s()
        await asyncio.sleep(DRAIN_S + 0.2)
        orders = [
            asyncio.create_task(
                fleet.call(sidecars[others[n % 2]], record, "POST", "/orders/1", f"order-{n}")
            )
            for n in range(ORDERS)
        ]
        await asyncio.sleep(drained_s + SERVES_ON_S - record.now_s())
        record.write(f"{leaver.instance_id} exits")
        leaver.stop()
        outcomes = await asyncio.gather(*orders)
        late = [run for run in leaver.runs if run.arrived_s > drained_s + DRAIN_S]
        for run in late:
            lost = "" if run.answered_s else ", lost with the exit"
            after_s = run.arrived_s - drained_s
            record.write(f"{run.request_id} arrived {after_s:.2f} s after the drain{lost}")
        unserved = sum(outcome != "200" for outcome in outcomes)
        print(f"late arrivals {len(late)}, orders without success {unserved}")
        return bool(late)
    finally:
        for sidecar in sidecars:
            await sidecar.end()


sys.exit(fleet.run_case(FOLDER, case))
