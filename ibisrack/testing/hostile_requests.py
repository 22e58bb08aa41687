"""Generated HTTP requests with unusual or invalid parts, and a raw TCP client that sends them."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from ibisrack.testing.fuzz import fuzz

# Ends the wait for an answer that never comes, such as to a request whose body is incomplete.
ANSWER_IDLE_TIMEOUT_S = 0.3

_METHODS = st.sampled_from([b"GET"] * 5 + [b"POST", b"PUT", b"BREW", b"get", b"CONNECT"])
_VALUES = st.one_of(
    st.sampled_from(
        [b"1", b"-1", b"99999999999", b"yes", b"notice-desk", b"a" * 70, b"100-continue"]
    ),
    st.text("abcXYZ019 ._-%/[]{}\"';:,", max_size=12).map(str.encode),
    st.binary(max_size=12).map(lambda value: value.replace(b"\n", b"")),
)


def _request(method: bytes, path: bytes, headers: dict[bytes, bytes], body: bytes) -> bytes:
    headers = {b"Host": b"notice-desk", b"Content-Length": b"%d" % len(body), **headers}
    lines = [b"%s %s HTTP/1.1" % (method, path), *(b"%s: %s" % pair for pair in headers.items())]
    return b"\r\n".join([*lines, b"Connection: close", b"", body])


def hostile_requests(cases: int, paths: list[bytes], headers: list[bytes]) -> list[bytes]:
    """Returns raw requests.

    Args:
      cases: Number of generated requests; one with a 70 kB target and one of NUL bytes are added.
      paths: Request targets to choose from, besides random bytes.
      headers: Header names to choose from; their values are chosen at random.
    """
    requests: list[bytes] = []
    target = st.sampled_from(paths)
    random_target = st.binary(max_size=8).map(lambda value: b"/" + value)
    chosen = st.dictionaries(st.sampled_from(headers), _VALUES, max_size=3)

    @fuzz(cases)
    @given(_METHODS, st.one_of(target, target, random_target), chosen, st.binary(max_size=20))
    def gather(method, path, chosen, body):
        requests.append(_request(method, path, chosen, body))

    gather()
    return [*requests, b"GET /" + b"a" * 70_000, b"\x00" * 100]


async def _send(address: str, request: bytes) -> bytes:
    """Sends bytes to IP:PORT; returns the answer up to its end or an idle timeout."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = b""
    try:
        while part := await asyncio.wait_for(reader.read(65536), ANSWER_IDLE_TIMEOUT_S):
            answer += part
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return answer


async def send_all(address: str, requests: list[bytes]) -> list[tuple[bytes, bytes]]:
    """Sends all requests, 20 at a time; returns pairs of request and answer."""
    pairs: list[tuple[bytes, bytes]] = []
    for start in range(0, len(requests), 20):
        batch = requests[start : start + 20]
        answers = await asyncio.gather(*(_send(address, request) for request in batch))
        pairs += zip(batch, answers, strict=True)
    return pairs
