"""The memory that a process may hold for others: budget, accounts, and what happens when it is short."""

from __future__ import annotations

import asyncio
import socket

import pytest
from conftest import FakeHost, GatewayProcesses, LoopbackGateway, asyncio_test, until
from test_client_ends import PlainClient, request
from test_large import BIG, answer, post
from test_released_objects import resident_bytes

from saffrongw.config import address
from saffrongw.memory import (
    HEADROOM_SHARE,
    MARGIN_SHARE,
    MEBIBYTE,
    TRIM_SHARE,
    MemoryAccount,
    MemoryBudget,
    MemoryMonitor,
)
from saffrongw.streamed_reply import STREAM_BYTES
from saffrongw.uploads import Grant, UploadMemory

OWN_BYTES = 27 * MEBIBYTE


@pytest.mark.parametrize("limit_mb", [32, 64, 128, 192])
def test_accounts_together_never_hold_more_than_the_process_leaves(limit_mb):
    """Each had a fifth of the whole limit beside a process of 27 MB: their sum was beyond it (review/9)."""
    budget = MemoryBudget(limit_mb * MEBIBYTE, OWN_BYTES)
    accounts = [MemoryAccount(budget, share) for share in (1 / 2, 1 / 4, 1 / 2, 3 / 4, 1 / 4)]
    taken = True
    while taken:
        taken = [account for account in accounts if not account.lacks(10_000)]
        for account in taken:
            if not account.lacks(10_000):
                account.change(0, 10_000)
    assert budget.held == sum(account.held for account in accounts)
    assert (
        OWN_BYTES + budget.held <= limit_mb * MEBIBYTE * (1 - MARGIN_SHARE) < OWN_BYTES + budget.held + 10_000
    )


def test_large_values_leave_headroom_to_requests():
    budget = MemoryBudget(64 * MEBIBYTE, OWN_BYTES)
    large, small = MemoryAccount(budget, 1.0, HEADROOM_SHARE), MemoryAccount(budget, 1.0)
    large.change(0, int((1 - HEADROOM_SHARE) * budget.capacity))
    assert large.lacks(1000) and not small.lacks(int(HEADROOM_SHARE * budget.capacity))


def test_what_nothing_counts_is_taken_off_the_budget():
    budget = MemoryBudget(64 * MEBIBYTE)
    budget.calibrate(OWN_BYTES)
    account = MemoryAccount(budget, 1 / 2)
    account.change(0, 5 * MEBIBYTE)
    free = budget.free
    budget.measure(OWN_BYTES + 4 * MEBIBYTE, reserved_unused=MEBIBYTE)  # all that is held is counted
    assert budget.free == free
    budget.measure(OWN_BYTES + 9 * MEBIBYTE, reserved_unused=MEBIBYTE)
    assert budget.free == free - 5 * MEBIBYTE


def test_the_other_process_of_an_upgrade_is_taken_off_the_budget():
    """Each of the two processes of an upgrade took the whole limit for itself."""
    budget = MemoryBudget(128 * MEBIBYTE, OWN_BYTES)
    uploads = UploadMemory(budget)
    capacity, free = budget.capacity, uploads.free
    budget.set_other_process(30 * MEBIBYTE)
    assert budget.capacity == capacity - 30 * MEBIBYTE
    assert uploads.free == uploads.limit < free
    budget.set_other_process(0)
    assert (budget.capacity, uploads.free) == (capacity, free)


def test_free_memory_is_returned_when_much_is_not_counted():
    """After a burst the allocator kept 25 of 64 MB, which no new value could use."""
    budget, resident, trims = MemoryBudget(64 * MEBIBYTE), [OWN_BYTES], []

    def trim() -> None:
        trims.append(1)
        resident[0] = OWN_BYTES

    monitor = MemoryMonitor(budget, lambda: resident[0], trim)
    monitor.calibrate()
    monitor.check(0)
    assert not trims
    for _ in range(2):
        resident[0] = OWN_BYTES + int(TRIM_SHARE * budget.capacity) + 1
        monitor.check(0)
        assert budget.uncounted == 0 or len(trims) == 1
    assert len(trims) == 1  # not at each check


def test_a_body_beyond_the_share_of_all_bodies_is_never_granted():
    uploads = UploadMemory(MemoryBudget(32 * MEBIBYTE, OWN_BYTES))
    assert uploads.acquire(None, 4 * MEBIBYTE) is Grant.NEVER and not uploads.waiting


@asyncio_test
async def test_body_that_can_never_be_held_is_refused_at_once_and_its_connection_kept():
    host = await FakeHost("a").listen()
    gateway = LoopbackGateway(host)
    gateway.clients.upload_memory.limit = 1_000_000
    client = await gateway.connect_client()
    command = post(BIG)
    client.transport.write(command[:100_000])
    assert str((await client.wait_for_replies())[0]) == "BUSY"
    client.transport.write(command[100_000:])
    client.send_request(request_id=b"next")
    assert (await client.wait_for_replies(2))[1] == b"ok"
    assert [command[2] for command in host.commands] == [b"next"]
    assert gateway.driver.stats["refused_no_room"] == 1 and not gateway.clients.budget.held


@asyncio_test
async def test_value_without_room_for_a_stream_fails_and_leaves_nothing():
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG if command[2] == b"big" else b"small")
    gateway = LoopbackGateway(host)
    gateway.clients.stream_memory.limit = STREAM_BYTES - 1
    client = await gateway.connect_client()
    client.send_request(request_id=b"big")
    client.send_request(request_id=b"next")
    replies = await client.wait_for_replies(2)
    assert str(replies[0]) == "ERR failed" and replies[1] == b"small"
    await until(lambda: gateway.hosts.connection_count == len(host.connections) == 1)
    assert not gateway.hosts.streams and not gateway.clients.budget.held


@asyncio_test
async def test_value_behind_which_others_wait_is_held_once_there_is_memory():
    host = await FakeHost("a").listen()
    host.script = lambda command: answer(BIG if command[2] == b"big" else b"small")
    gateway = LoopbackGateway(host)
    waiting = gateway.clients.waiting_replies
    limit, waiting.limit = waiting.limit, 400_000
    client = await gateway.connect_client()
    client.send_request(request_id=b"big")
    client.send_request(request_id=b"next")
    await until(lambda: any(connection.paused for connection in gateway.hosts.streams))
    assert not gateway.driver.stats["stream_held"]
    waiting.limit = limit
    assert await client.wait_for_replies(2) == [BIG, b"small"]
    await until(lambda: not gateway.clients.budget.held)


@asyncio_test
async def test_what_is_reserved_for_values_that_wait_is_not_taken_for_resident_memory():
    """Only the first value of a connection was looked at, and too little taken for uncounted."""
    host = await FakeHost("a").listen()
    host.script = lambda command: None if command[2] == b"slow" else answer(BIG)
    gateway = LoopbackGateway(host)
    client = await gateway.connect_client()
    for request_id in (b"slow", b"big1", b"big2"):
        client.send_request(request_id=request_id)
    await until(lambda: sum(connection.paused for connection in gateway.hosts.streams) == 2)
    (connection,) = gateway.clients.open
    assert connection.reserved_unused_bytes() == gateway.clients.stream_memory.held == 2 * STREAM_BYTES


READERS = 90
READ_PIECE, READ_INTERVAL = 8 * 1024, 0.25  # bytes, seconds
MEMORY_MB = 48
READ_TIME = 4.0  # seconds


async def read_slowly(plain: PlainClient) -> int:
    """Read a value slowly for READ_TIME; return the bytes received."""
    received, ends = 0, plain.loop.time() + READ_TIME
    while plain.loop.time() < ends:
        piece = await plain.loop.sock_recv(plain.sock, READ_PIECE)
        assert piece and not piece.startswith(b"-")
        received += len(piece)
        await asyncio.sleep(READ_INTERVAL)
    return received


@asyncio_test
async def test_process_stays_within_its_memory_while_many_clients_read_slowly(tmp_path):
    """It took 0.3 MB for each client that read a value slowly, whatever the limit (review/9)."""
    hosts = [await FakeHost(name).listen() for name in "ab"]
    for host in hosts:
        host.script = lambda command: answer(bytes(4 * MEBIBYTE))
    async with GatewayProcesses(tmp_path, *hosts) as gateways:
        gateways.configuration["limits"] = {"memory_mb": MEMORY_MB, "sockets": 512}
        process = await gateways.start()
        idle = resident_bytes(process.pid)
        holder = type("Holder", (), {"loop": asyncio.get_running_loop()})
        listen = address(gateways.configuration["listen"])
        readers, most = [], 0
        for number in range(READERS):
            plain = PlainClient(holder, listen, receive_buffer=32 * 1024)
            plain.send(request(number, deadline_ms=3000))
            readers.append((plain, asyncio.create_task(read_slowly(plain))))
            await asyncio.sleep(0.02)
        while not all(task.done() for _, task in readers):
            most = max(most, resident_bytes(process.pid))
            await asyncio.sleep(0.05)
        assert all(task.result() > 0 for _, task in readers)
        assert most < MEMORY_MB * MEBIBYTE
        for plain, _ in readers:
            plain.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            plain.sock.close()
        await until(lambda: resident_bytes(process.pid) < idle + 4 * MEBIBYTE)
