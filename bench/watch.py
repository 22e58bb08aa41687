"""Runs a small fleet with its screens for inspection by hand (``make room``)."""

import asyncio
import signal

from bench.deployments import PILBARA
from bench.fleet import Fleet, started_fleet
from bench.processes import HOST, free_ports
from bench.screens import caller_process, room_process

DURATION_S = 600.0


async def _run(fleet: Fleet) -> None:
    (port,) = free_ports(1)
    extra_processes = [room_process(fleet, port), caller_process(fleet, DURATION_S)]
    for process in extra_processes:
        await process.start(fleet.folder)
    address = f"{HOST}:{fleet.nodes[0].settings['listen']['admin_port']}"
    print(f"wall screen: http://{HOST}:{port}/")
    print(f"terminal:    .venv/bin/python -m ibisrack.bin.ibisctl fleet --watch --node={address}")
    print(f"time line:   .venv/bin/python -m ibisrack.bin.ibisctl timeline --node={address}")
    print(f"stops after {DURATION_S / 60:.0f} minutes or with Ctrl-C", flush=True)
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    try:
        await asyncio.wait_for(stop.wait(), DURATION_S)
    except TimeoutError:
        pass
    finally:
        for process in extra_processes:
            await process.kill()


async def main() -> None:
    """Starts the fleet and runs it until a signal arrives or DURATION_S has passed."""
    async with started_fleet(PILBARA) as fleet:
        await _run(fleet)


if __name__ == "__main__":
    asyncio.run(main())
