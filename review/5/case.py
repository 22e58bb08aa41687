"""A kept connection holds requests to the header limit of an older configuration."""

import asyncio
from pathlib import Path

import attrs

from review.common.clients import HOST
from review.common.fleet import Machine, configuration, route, small_fleet
from review.common.main import run_case
from review.common.record import Record

SERVICES = ("tienda", "tienda", "archivo", "archivo")
ZONES = ("gt-central-a", "gt-central-b")
ROUTES = [route("pedido", "/pedido/", "tienda", kind="non_idempotent")]
FIRST_LIMIT_BYTES = 16384
RAISED_LIMIT_BYTES = 32768
LARGE_FIELD_BYTES = 20000  # Within the raised limit.
SMALL_FIELD_BYTES = 1000
CONNECTIONS_PER_MACHINE = 4
SMALL_REQUESTS = 8
APPLIED_S = 5.0  # Well after `config_apply`, and less than the idle limit.
ANSWER_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class KeptConnection:
    """A client that keeps its connection for many requests.

    Attributes:
      machine: Its machine.
      name: Its name, with which its request ids begin.
      record: Record of the script.
      sent: Number of its requests.
      statuses: Statuses of the answers.
    """

    machine: Machine
    name: str
    record: Record
    sent: int = 0
    statuses: list[int] = attrs.field(factory=list)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection."""
        address = self.machine.host, self.machine.ports.outbound
        self._reader, self._writer = await asyncio.open_connection(*address)

    async def send(self, field_bytes: int) -> int:
        """Sends an order with a header field of a size; returns the status of the answer."""
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        body = b"order"
        head = (
            f"POST /pedido/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n"
            f"Cookie: {'c' * field_bytes}\r\n\r\n"
        ).encode()
        self.record.write(
            "sent", request=request_id, machine=self.machine.name, head_bytes=len(head)
        )
        self._writer.write(head + body)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status = await self._read_answer()
        self.statuses.append(status)
        self.record.write("answered", request=request_id, status=status)
        return status

    async def _read_answer(self) -> int:
        line = await self._reader.readline()
        size = 0
        while field := (await self._reader.readline()).strip():
            name, _, value = field.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                size = int(value)
        await self._reader.readexactly(size)
        return int(line.split()[1])

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def case(record: Record, folder: Path, with_trouble: bool) -> bool:
    """Returns whether more proper requests are denied than the rule allows."""
    services = ("tienda", "archivo")
    first = configuration(1, ROUTES, services, max_header_bytes=FIRST_LIMIT_BYTES)
    async with small_fleet(SERVICES, ZONES, record, folder, configuration=first) as fleet:
        kept = [
            KeptConnection(machine, f"kept-{machine.name}-{number}", record)
            for machine in fleet.machines
            for number in range(CONNECTIONS_PER_MACHINE)
        ]
        for connection in kept:
            await connection.open()
            for _ in range(SMALL_REQUESTS):
                await connection.send(SMALL_FIELD_BYTES)
        field_bytes = SMALL_FIELD_BYTES
        if with_trouble:
            changed = configuration(2, ROUTES, services, max_header_bytes=RAISED_LIMIT_BYTES)
            fleet.store.put("op/config", changed)
            record.write("acknowledged", version="00000002", max_header_bytes=RAISED_LIMIT_BYTES)
            field_bytes = LARGE_FIELD_BYTES
        await asyncio.sleep(APPLIED_S)
        fresh = [KeptConnection(m, f"fresh-{m.name}", record) for m in fleet.machines]
        for connection in fresh:  # The same request is served on a new connection.
            await connection.open()
            await connection.send(field_bytes)
        for connection in kept:
            await connection.send(field_bytes)
        statuses = [status for connection in (*kept, *fresh) for status in connection.statuses]
        denied = sum(300 <= s < 500 and s not in (408, 421, 429) for s in statuses)
        allowed = 5 + len(statuses) / 500
        record.write("summary", requests=len(statuses), denied=denied, allowed=allowed)
        for connection in (*kept, *fresh):
            connection.close()
        return denied > allowed


if __name__ == "__main__":
    run_case(case, __file__)
