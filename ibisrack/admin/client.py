"""Reads the admin ports of nodes, with bounded time, size and concurrency."""

import asyncio
from collections.abc import Iterable
from enum import StrEnum
from typing import TypeVar

import attrs
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from ibisrack.admin.messages import Member, decode
from ibisrack.errors import IbisError, MessageError

T = TypeVar("T")

MAX_ANSWER_BYTES = 16 * 1024 * 1024  # A full time line of 8,192 events has about 3 MB.


class Silence(StrEnum):
    """How a node failed to answer, as far as the asking side can tell."""

    REFUSED = "refused the connection"
    NO_CONNECTION = "could not be reached"
    NO_ANSWER = "accepted the connection but did not answer in time"
    BROKEN = "broke off its answer"
    BAD_ANSWER = "gave an answer that is not valid"


class AdminError(IbisError):
    """A node's admin port gave no usable answer.

    Attributes:
      address: Address that was asked, IP:PORT.
      silence: What is known of the cause.
    """

    def __init__(self, address: str, silence: Silence, detail: str = "") -> None:
        super().__init__(f"{address}: {silence}{': ' + detail if detail else ''}")
        self.address = address
        self.silence = silence


@attrs.define
class AdminClient:
    """Asks nodes.

    Attributes:
      session: HTTP client session.
      timeout_s: Time for one answer.
      concurrency: Nodes that are asked at the same time.
    """

    session: ClientSession
    timeout_s: float = 2.0
    concurrency: int = 32
    _slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the bound on concurrency."""
        self._slots = asyncio.Semaphore(self.concurrency)

    async def body(self, address: str, path: str, method: str = "GET") -> bytes:
        """Returns the body of an answer.

        Raises:
          AdminError: There is no usable answer.
        """
        async with self._slots:
            try:
                return await self._read(address, path, method)
            except ConnectionTimeoutError as error:
                raise AdminError(address, Silence.NO_CONNECTION) from error
            except TimeoutError as error:
                raise AdminError(address, Silence.NO_ANSWER) from error
            except ClientConnectorError as error:
                refused = isinstance(error.os_error, ConnectionRefusedError)
                silence = Silence.REFUSED if refused else Silence.NO_CONNECTION
                raise AdminError(address, silence) from error
            except (ClientError, OSError) as error:
                raise AdminError(address, Silence.BROKEN, str(error)) from error

    async def get(self, address: str, path: str, cls: type[T]) -> T:
        """Returns a decoded answer.

        Raises:
          AdminError: There is no usable answer.
        """
        body = await self.body(address, path)
        try:
            return decode(body, cls)
        except MessageError as error:
            raise AdminError(address, Silence.BAD_ANSWER, str(error)) from error

    async def get_all(
        self, addresses: Iterable[str], path: str, cls: type[T]
    ) -> dict[str, T | AdminError]:
        """Asks several nodes; returns the answer or the error by address."""
        asked = tuple(dict.fromkeys(addresses))
        answers = await asyncio.gather(
            *(self.get(address, path, cls) for address in asked), return_exceptions=True
        )
        for answer in answers:
            if isinstance(answer, BaseException) and not isinstance(answer, AdminError):
                raise answer
        return dict(zip(asked, answers, strict=True))

    async def members(self, addresses: Iterable[str]) -> tuple[tuple[Member, ...], str]:
        """Reads the member table from the first of several nodes that answers.

        Returns:
          The members and the address that answered.

        Raises:
          AdminError: None answered; the error is that of the last one.
        """
        last = AdminError("", Silence.NO_CONNECTION, "no address given")
        for address in addresses:
            try:
                return await self.get(address, "/members", tuple[Member, ...]), address
            except AdminError as error:
                last = error
        raise last

    async def _read(self, address: str, path: str, method: str) -> bytes:
        timeout = ClientTimeout(total=self.timeout_s, sock_connect=self.timeout_s / 2)
        url = f"http://{address}{path}"
        async with self.session.request(method, url, timeout=timeout) as answer:
            body = await answer.content.read(MAX_ANSWER_BYTES + 1)
            while not answer.content.at_eof() and len(body) <= MAX_ANSWER_BYTES:
                body += await answer.content.read(MAX_ANSWER_BYTES)
            if answer.status != 200:
                raise AdminError(address, Silence.BAD_ANSWER, f"status {answer.status} for {path}")
            if len(body) > MAX_ANSWER_BYTES:
                raise AdminError(address, Silence.BAD_ANSWER, "the answer is too large")
            return body
