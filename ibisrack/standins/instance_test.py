"""Tests of the stand-in instance that the faults of the soak rely on."""

from aiohttp import ClientConnectorError, ClientError, ClientSession

from ibisrack.platform.headers import (
    CALLER_SERVICE,
    EXPECTED_INSTANCE,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SIGNATURE,
)
from ibisrack.standins.instance import RequestContent, StandInInstance, digest, serve_instance
from ibisrack.testing.functions import function_tests
from ibisrack.testing.sidecars import wait_until

HOST = "127.0.0.1"


async def test_deadly_request_crashes_the_instance_until_it_is_back_with_a_new_id():
    """Guards against a fault that kills nothing, or an instance that does not come back."""
    restarts: list[str] = []
    deadly = RequestContent("POST", "/a?b", "docs", digest(b"c"))
    stand_in = StandInInstance("i-1", deadly={deadly}, down_s=0.3, on_restart=restarts.append)

    async def send(body: bytes, caller: str = "docs") -> str:
        headers = {REQUEST_ID: "q", CALLER_SERVICE: caller}
        url = f"http://{HOST}:{port}/a?b"
        async with session.post(url, data=body, headers=headers) as response:
            return response.headers[SIGNATURE]

    async def failure_of(body: bytes) -> ClientError | None:
        try:
            await send(body)
        except ClientError as error:
            return error

    async with serve_instance(stand_in, HOST) as port, ClientSession() as session:
        assert await send(b"other body") == await send(b"c", "other caller") == "signed.i-1"
        assert await failure_of(b"c") is not None
        assert isinstance(await failure_of(b"other body"), ClientConnectorError)
        await wait_until(lambda: restarts == ["i-1"])
        assert await send(b"other body") == "signed.i-1+1"
        assert stand_in.started_at_ms > 0


async def test_refusal_names_its_request():
    """Guards against a refusal that a sidecar has to take for the answer to another request."""
    headers = {REQUEST_ID: "q", EXPECTED_INSTANCE: "i-2"}
    async with serve_instance(StandInInstance("i-1"), HOST) as port, ClientSession() as session:
        async with session.get(f"http://{HOST}:{port}/", headers=headers) as response:
            assert response.status == 421
            assert response.headers[REQUEST_ID] == "q"
            assert response.headers[NOT_EXECUTED] == "1"
            assert response.headers[INSTANCE_ID] == "i-1"


load_tests = function_tests(__name__)
