"""Keeps a small fleet with its screens running, to look at: ``make room``."""

import asyncio
import signal

from bench.deployments import PILBARA
from bench.fleet import HOST, Fleet, free_ports, started_fleet
from bench.screens import caller_process, room_process

DURATION_S = 600.0


async def _run(fleet: Fleet) -> None:
    (port,) = free_ports(1)
    helpers = [room_process(fleet, port), caller_process(fleet, DURATION_S)]
    for process in helpers:
        await process.start(fleet.folder)
    admin = f"{HOST}:{fleet.nodes[0].settings['listen']['admin_port']}"
    print(f"wall screen: http://{HOST}:{port}/")
    print(f"terminal:    .venv/bin/python -m ibisrack.bin.ibisctl fleet --watch --node={admin}")
    print(f"time line:   .venv/bin/python -m ibisrack.bin.ibisctl timeline --node={admin}")
    print(f"stops after {DURATION_S / 60:.0f} minutes or with Ctrl-C", flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        await asyncio.wait_for(stop.wait(), DURATION_S)
    except TimeoutError:
        pass
    finally:
        for process in helpers:
            await process.kill()


async def main() -> None:
    """Starts the fleet and waits."""
    async with started_fleet(PILBARA) as fleet:
        await _run(fleet)


if __name__ == "__main__":
    asyncio.run(main())
