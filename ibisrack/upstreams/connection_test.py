"""Tests of what a connection makes of received bytes, without a network."""

from ibisrack.testing.connections import create_waiting_connection
from ibisrack.testing.endless import BODY_LENGTH, whole_answer
from ibisrack.testing.functions import function_tests
from ibisrack.upstreams.connection import Connection

ANSWER = whole_answer("q-1")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n0\r\n\r\n"
NOISE = b"\x00\xffnoise\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Far more interim answers than any server sends for one request.
MANY = 1000
CHUNKS_PER_PACKET = 1000
PACKET_BYTES = 16 * 1024
MAX_UNREAD_BYTES = 160 * 1024


async def test_complete_answer_survives_noise_in_the_same_packet():
    """Guards against a complete answer that is lost because the bytes after it are malformed."""
    for answer in (ANSWER, CHUNKED):
        connection = create_waiting_connection()
        connection.data_received(answer + NOISE)
        message, content = await connection.read()
        assert message.code == 200
        assert await content.read() == b"x" * BODY_LENGTH
        assert connection.should_close and connection.transport.closed


async def test_split_answer_survives_noise_after_its_last_part():
    """Guards against an end of a body that is missed because two packets share it."""
    for answer in (ANSWER, CHUNKED):
        for split in range(1, len(answer)):
            connection = create_waiting_connection()
            connection.data_received(answer[:split])
            connection.data_received(answer[split:] + NOISE)
            _, content = await connection.read()
            assert await content.read() == b"x" * BODY_LENGTH, split


async def test_late_answer_and_answer_in_one_packet_are_both_read():
    """Guards against an answer that is dropped because a late answer precedes it."""
    connection = create_waiting_connection()
    connection.data_received(INTERIM + CHUNKED + ANSWER)
    codes = []
    for _ in range(3):
        message, content = await connection.read()
        codes.append(message.code)
    assert codes == [100, 200, 200]
    assert await content.read() == b"x" * BODY_LENGTH
    assert not connection.should_close


async def test_interim_answers_without_end_close_thecreate_waiting_connection():
    """Guards against a pause of the event loop and a queue that grows with each packet."""
    connection = create_waiting_connection()
    connection.data_received(INTERIM * MANY)
    assert connection.transport.closed and connection.should_close
    assert len(connection) < MANY / 10


async def test_switch_of_the_protocol_closes_the_connection():
    """Guards against a request that waits for its answer in another protocol."""
    connection = create_waiting_connection()
    head = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    connection.data_received(head + NOISE * MANY)
    assert connection.transport.closed


async def test_answers_without_end_close_thecreate_waiting_connection():
    """Guards against answers that pile up behind the one that the request waits for."""
    connection = create_waiting_connection()
    connection.data_received(ANSWER * MANY)
    assert connection.transport.closed
    assert len(connection) < MANY / 10
    message, content = await connection.read()
    assert await content.read() == b"x" * BODY_LENGTH


async def _body_of_chunks(chunk: bytes, chunks: int) -> tuple[Connection, int]:
    """Delivers a chunked body in packets; returns the connection and the length that was read."""
    connection = create_waiting_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    _, content = await connection.read()
    packet = chunk * CHUNKS_PER_PACKET
    length = 0
    for _ in range(chunks // CHUNKS_PER_PACKET):
        connection.data_received(packet)
        if connection.transport.closed:
            break
        length += len(content.read_nowait())
    return connection, length


async def test_chunks_that_are_mostly_framing_close_the_connection():
    """Guards against bytes that cost far more processor time than a body of their size."""
    connection, _ = await _body_of_chunks(b"1\r\nx\r\n", 100 * CHUNKS_PER_PACKET)
    assert connection.transport.closed


async def test_body_of_short_chunks_is_read():
    """Guards against a limit on framing that cuts off an answer written in short pieces."""
    chunks = 100 * CHUNKS_PER_PACKET
    connection, length = await _body_of_chunks(b"10\r\n" + b"x" * 16 + b"\r\n", chunks)
    assert not connection.transport.closed
    assert length == chunks * 16


async def test_unread_body_stops_the_reading():
    """Guards against a quarter of a megabyte and more for each answer that is passed on slowly."""
    connection = create_waiting_connection()
    connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n")
    received = 0
    while not connection.transport.paused:
        received += PACKET_BYTES
        connection.data_received(b"x" * PACKET_BYTES)
    assert received <= MAX_UNREAD_BYTES
    _, content = await connection.read()
    assert len(content.read_nowait()) == received
    assert not connection.transport.paused


load_tests = function_tests(__name__)
