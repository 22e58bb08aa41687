"""Client of the admin ports of nodes, with bounds on time, response size and concurrency."""

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

MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # A full timeline of 8,192 events takes about 3 MB.


class AdminFailure(StrEnum):
    """How a request to an admin port failed, as seen by the client."""

    REFUSED = "refused the connection"
    NO_CONNECTION = "could not be reached"
    NO_RESPONSE = "accepted the connection but did not answer in time"
    CONNECTION_LOST = "broke off its answer"
    INVALID_RESPONSE = "gave an answer that is not valid"


class AdminError(IbisError):
    """An admin port gave no usable response.

    Attributes:
      address: Address of the admin port, IP:PORT.
      failure: How the request failed.
    """

    def __init__(self, address: str, failure: AdminFailure, detail: str = "") -> None:
        super().__init__(f"{address}: {failure}{': ' + detail if detail else ''}")
        self.address = address
        self.failure = failure


@attrs.define
class AdminClient:
    """Sends requests to the admin ports of nodes.

    Attributes:
      session: HTTP client session.
      timeout_s: Timeout of one request.
      concurrency: Maximum number of concurrent requests.
    """

    session: ClientSession
    timeout_s: float = 2.0
    concurrency: int = 32
    _slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the semaphore that limits concurrency."""
        self._slots = asyncio.Semaphore(self.concurrency)

    async def fetch(self, address: str, path: str, method: str = "GET") -> bytes:
        """Sends a request and returns the body of the response.

        Raises:
          AdminError: There is no usable response.
        """
        async with self._slots:
            try:
                return await self._read(address, path, method)
            except ConnectionTimeoutError as error:
                raise AdminError(address, AdminFailure.NO_CONNECTION) from error
            except TimeoutError as error:
                raise AdminError(address, AdminFailure.NO_RESPONSE) from error
            except ClientConnectorError as error:
                refused = isinstance(error.os_error, ConnectionRefusedError)
                failure = AdminFailure.REFUSED if refused else AdminFailure.NO_CONNECTION
                raise AdminError(address, failure) from error
            except (ClientError, OSError) as error:
                raise AdminError(address, AdminFailure.CONNECTION_LOST, str(error)) from error

    async def get(self, address: str, path: str, cls: type[T]) -> T:
        """Returns the decoded response to a GET request.

        Raises:
          AdminError: There is no usable response.
        """
        body = await self.fetch(address, path)
        try:
            return decode(body, cls)
        except MessageError as error:
            raise AdminError(address, AdminFailure.INVALID_RESPONSE, str(error)) from error

    async def get_all(
        self, addresses: Iterable[str], path: str, cls: type[T]
    ) -> dict[str, T | AdminError]:
        """Sends a GET request to several nodes; returns the response or the error by address."""
        unique_addresses = tuple(dict.fromkeys(addresses))
        results = await asyncio.gather(
            *(self.get(address, path, cls) for address in unique_addresses), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException) and not isinstance(result, AdminError):
                raise result
        return dict(zip(unique_addresses, results, strict=True))

    async def members(self, addresses: Iterable[str]) -> tuple[tuple[Member, ...], str]:
        """Reads the member table from the first of several nodes that responds.

        Returns:
          The members and the address that responded.

        Raises:
          AdminError: No node responded; the error is that of the last address.
        """
        last_error = AdminError("", AdminFailure.NO_CONNECTION, "no address given")
        for address in addresses:
            try:
                return await self.get(address, "/members", tuple[Member, ...]), address
            except AdminError as error:
                last_error = error
        raise last_error

    async def _read(self, address: str, path: str, method: str) -> bytes:
        timeout = ClientTimeout(total=self.timeout_s, sock_connect=self.timeout_s / 2)
        url = f"http://{address}{path}"
        async with self.session.request(method, url, timeout=timeout) as response:
            body = await response.content.read(MAX_RESPONSE_BYTES + 1)
            while not response.content.at_eof() and len(body) <= MAX_RESPONSE_BYTES:
                body += await response.content.read(MAX_RESPONSE_BYTES)
            if response.status != 200:
                raise AdminError(
                    address, AdminFailure.INVALID_RESPONSE, f"status {response.status} for {path}"
                )
            if len(body) > MAX_RESPONSE_BYTES:
                raise AdminError(address, AdminFailure.INVALID_RESPONSE, "the answer is too large")
            return body
