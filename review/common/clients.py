"""Clients on the machines, as the users' pages describe sound ones."""

import asyncio
import itertools

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientTimeout

from review.common.fleet import Fleet, Machine

HOST = "mesh.example"
NOT_SENT = "not-connected"
CLOSED = "closed-without-answer"
LATE = "no-answer-in-time"


@attrs.frozen
class Result:
    """How one attempt ended.

    Attributes:
      request_id: Its id.
      status: Status of the answer, 0 without one.
      detail: Own text of the sidecar, or how the attempt ended without an answer.
      signature: Signature of the instance, empty without one.
    """

    request_id: str
    status: int
    detail: str
    signature: str = ""


@attrs.define(eq=False)
class Clients:
    """Clients of a fleet.

    Attributes:
      fleet: The fleet.
      results: Results of all attempts.
    """

    fleet: Fleet
    results: list[Result] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def send(
        self, machine: Machine, method: str, path: str, body: bytes = b"", deadline_ms: int = 4000
    ) -> Result:
        """Sends one attempt and records how it ended."""
        request_id = f"q{next(self._numbers):06d}"
        record = self.fleet.record
        record.write(
            "sent", request=request_id, machine=machine.name, path=path, body_bytes=len(body)
        )
        result = await self._attempt(machine, method, path, body, deadline_ms, request_id)
        self.results.append(result)
        record.write("answered", request=request_id, status=result.status, detail=result.detail)
        return result

    async def _attempt(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        request_id: str,
    ) -> Result:
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        url = f"http://{machine.host}:{machine.ports.outbound}{path}"
        timeout = ClientTimeout(total=deadline_ms / 1000)
        try:
            async with self.fleet.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as answer:
                body = await answer.read()
                text = body[:60].decode("latin-1").strip().replace(" ", "-")
                signature = answer.headers.get("Response-Signature", "")
                return Result(request_id, answer.status, text, signature)
        except ClientConnectorError:
            return Result(request_id, 0, NOT_SENT)
        except TimeoutError:
            return Result(request_id, 0, LATE)
        except (ClientError, OSError) as error:
            return Result(request_id, 0, f"{CLOSED}:{type(error).__name__}")

    async def keep_sending(
        self, machine: Machine, requests: list[tuple[str, str]], interval_s: float
    ) -> None:
        """Sends requests of the given methods and paths in turn while the machine is in."""
        for method, path in itertools.cycle(requests):
            await asyncio.sleep(interval_s)
            if machine.is_in:
                await self.send(machine, method, path, b"order" if method == "POST" else b"")
