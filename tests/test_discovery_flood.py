"""What discovery, the list service and HTTP clients may make a process do in one turn of its event loop."""

from __future__ import annotations

import asyncio
import json

import h11
import pytest
from conftest import asyncio_test, until
from test_discovery import ZONES, host_entry

from ops import http
from saffrongw import discovery, rendezvous
from saffrongw.address_book import AddressBook
from saffrongw.discovery import LIST_ENTRIES_MAX, RESPONSE_BYTES_MAX, Watch, check_list_size


class EventCounter:
    """Counts the HTTP events that a module parses in each iteration of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, module: object) -> None:
        self.counts, counter = [0], self

        class CountingConnection(h11.Connection):
            def next_event(self) -> object:
                counter.counts[-1] += 1
                return super().next_event()

        monkeypatch.setattr(module.h11, "Connection", CountingConnection)

    def start(self) -> None:
        """Begin to count; the loop never waits from then on."""
        self.counts.append(0)
        if len(self.counts) < 100_000:
            asyncio.get_running_loop().call_soon(self.start)


def list_body(hosts: int, indent: int | None = None) -> bytes:
    entries = [host_entry(f"s-{number:08x}") for number in range(hosts)]
    return json.dumps({"seq": 5, "whole": True, "hosts": entries}, indent=indent).encode()


def in_single_bytes(body: bytes) -> bytes:
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


async def serve_once(response: bytes) -> tuple[str, int]:
    """Answer the first request with these bytes, and no other one; return the address."""
    responses = [response]

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if responses:
            writer.write(responses.pop())

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[:2]


@pytest.mark.parametrize("reads_ahead", [False, True])
@asyncio_test
async def test_a_list_in_chunks_of_one_byte_does_not_hold_up_the_event_loop(monkeypatch, reads_ahead):
    """All that had arrived was parsed in one turn: 15 microseconds for each byte of up to 4 MiB."""
    counter, received = EventCounter(monkeypatch, discovery), []
    address = await serve_once(in_single_bytes(list_body(400)))
    watch = Watch(asyncio.get_running_loop(), address, ZONES, received.append, response_timeout=60.0)
    watch.start()
    counter.start()
    async with asyncio.timeout(10):
        while not received:
            if reads_ahead:
                watch.read_pending()
            await asyncio.sleep(0)
    assert len(received[0].hosts) == 400 and received[0].malformed == 0
    assert sum(counter.counts) > len(list_body(400))
    # Its own events of an iteration, and those of a list that is looked for between two decisions.
    assert max(counter.counts) <= 2 * discovery.EVENTS_PER_ITERATION + 2


@asyncio_test
async def test_informational_responses_without_end_do_not_hold_up_the_event_loop(monkeypatch):
    counter, received = EventCounter(monkeypatch, discovery), []
    address = await serve_once(b"HTTP/1.1 100 Continue\r\n\r\n" * 200_000)
    watch = Watch(asyncio.get_running_loop(), address, ZONES, received.append, response_timeout=60.0)
    watch.start()
    counter.start()
    await until(lambda: sum(counter.counts) > 20_000)
    watch.drop()
    assert max(counter.counts) <= 2 * discovery.EVENTS_PER_ITERATION + 2 and not received


@pytest.mark.parametrize(
    "part", [b"{},", b"[],", b'"",', b"[[]],", b"1,"], ids=["objects", "arrays", "texts", "nested", "numbers"]
)
def test_a_list_of_cheap_parts_is_not_parsed(part):
    """4 MiB of empty objects took 103 MB and 1.4 s of one turn of the loop."""
    body = b'{"seq":1,"whole":true,"hosts":[' + part * (RESPONSE_BYTES_MAX // len(part) - 20) + b"0]}"
    assert len(body) <= RESPONSE_BYTES_MAX
    with pytest.raises(ValueError, match="exceeds"):
        check_list_size(body)


@pytest.mark.parametrize("indent", [None, 4])
def test_the_largest_fleet_is_within_the_bounds_of_a_list(indent):
    body = list_body(LIST_ENTRIES_MAX - 1)
    check_list_size(body)
    check_list_size(list_body(3_200, indent))
    assert len(list_body(3_200, indent)) < RESPONSE_BYTES_MAX


@asyncio_test
async def test_other_gateways_in_chunks_of_one_byte_do_not_hold_up_the_event_loop(monkeypatch):
    """The list service's answer was parsed in one turn and copied once for each byte."""
    counter = EventCounter(monkeypatch, rendezvous)
    body = json.dumps({"gateways": [], "filler": "x" * 20_000}).encode()
    address = await serve_once(in_single_bytes(body))
    book = AddressBook(0, 2, "c", 1, ("127.0.0.1", 1), (), 1)
    client = rendezvous.RendezvousClient(address, "c", book, lambda: 0)
    counter.start()
    assert await client._announce() == []
    assert sum(counter.counts) > len(body)
    assert max(counter.counts) <= rendezvous.EVENTS_PER_ITERATION + 2


@asyncio_test
async def test_a_request_body_in_chunks_of_one_byte_does_not_hold_up_the_event_loop(monkeypatch):
    counter, requests = EventCounter(monkeypatch, http), []

    def handle(connection: http.Connection, request: http.Request) -> None:
        requests.append(request.body)
        connection.respond(b"done")

    server = http.Server(handle, 4)
    await server.listen(("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*server.server.sockets[0].getsockname())
    chunks = b"1\r\nx\r\n" * http.BODY_BYTES_MAX + b"0\r\n\r\n"
    writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    counter.start()
    async with asyncio.timeout(10):
        assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
    assert requests == [b"x" * http.BODY_BYTES_MAX]
    # Those of the queue's turn, and those of a piece that is read after it.
    assert max(counter.counts) <= 2 * http.EVENTS_PER_ITERATION + 2
    writer.close()
    await server.shut_down(1.0)
