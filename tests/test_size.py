"""Lists of a thousand gateways and hosts: they are complete, and memory and delays stay bounded."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import FakeHost, GatewayProcesses, asyncio_test, until
from registry_processes import Connection, Registry
from test_discovery import FakeAgent

from saffrongw import address_book
from saffrongw import rendezvous as gateway_rendezvous
from saffrongw.config import address

LARGE, SMALL = 1_024, 20
MAX_LOOP_LAG = 0.1  # seconds; a longer event loop lag would delay the detection of disconnected clients
MAX_EXTRA_MEMORY = 24 * 1024  # kB for the large list in addition to the small one


def resident_kb(pid: int) -> int:
    """Return a process's resident memory in kB."""
    return int(Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0])


async def serve_during_list_updates(folder: Path, size: int, hosts: list[FakeHost]) -> tuple[int, float]:
    """Send requests through a gateway of ``size`` peers and hosts while it receives full lists repeatedly.

    Return its memory in kB and the longest time in seconds that a client waited for the response to a ping.
    """

    def full_list(version: int) -> dict:
        entries = [hosts[i % len(hosts)].list_entry(host=f"s-{version % 2}-{i:06d}") for i in range(size)]
        return {"seq": version, "whole": True, "hosts": entries}

    loop, lists = asyncio.get_running_loop(), [full_list(version) for version in range(2, 10)]
    agent = FakeAgent(lists[:])
    server = await loop.create_server(lambda: agent, "127.0.0.1", 0)
    discovery = "{}:{}".format(*server.sockets[0].getsockname())
    async with GatewayProcesses(folder, discovery=discovery, balancers=size) as gateway:
        peers = [f"127.0.1.{1 + i % 200}:{20_000 + i // 200}" for i in range(size - 1)]
        gateway.configuration |= {
            "peers": [gateway.configuration["peer_listen"], *peers],
            "known": full_list(1),
        }
        process = await gateway.start()
        client, longest, number = await gateway.connect_client(), 0.0, 0
        while len(agent.requests) <= len(lists) or number < 40:
            started, number = loop.time(), number + 1
            client.send_command(b"PING")
            await client.wait_for_replies(2 * number - 1)
            longest = max(longest, loop.time() - started)
            client.send_request(request_id=b"%d" % number)
            await client.wait_for_replies(2 * number)
        assert client.replies.count(b"ok") > number // 2
        memory = resident_kb(process.pid)
        for i in range(size):  # fails for an id that was not on the list
            assert (await gateway.send_control_call(b"OFFLINE s-1-%06d" % i)).startswith("done")
        return memory, longest


@pytest.mark.alone
@asyncio_test
async def test_a_gateway_serves_with_a_thousand_peers_and_hosts(tmp_path):
    hosts = [await FakeHost(name).listen() for name in "abcd"]
    memory, longest = {}, {}
    for size in (SMALL, LARGE):
        folder = tmp_path / str(size)
        folder.mkdir()
        memory[size], longest[size] = await serve_during_list_updates(folder, size, hosts)
    print(f"resident kB {memory}, longest wait for a ping {longest}")
    assert memory[LARGE] < memory[SMALL] + MAX_EXTRA_MEMORY
    assert longest[LARGE] < longest[SMALL] + MAX_LOOP_LAG


@asyncio_test
async def test_a_gateway_learns_the_addresses_of_a_thousand_others_from_the_list_service(tmp_path):
    """Guards against a response that has only the latest gateways if there are more than sixteen."""
    async with Registry(tmp_path) as registry:
        primary = await registry.node().start("--new")
        connection = await Connection.open(primary.listen)
        for rank in range(1, LARGE + 1):
            announcement = {"rank": rank, "life": 5, "dial": f"127.0.1.1:{2_000 + rank}", "lease_ms": 60_000}
            assert (await connection.call("POST", "/registry/gateways/valley", announcement)).status == 200
        connection.close()
        state = address_book.AddressBook(0, LARGE + 1, "valley", 10, ("127.0.0.1", 7_000), [], 0)
        rendezvous = gateway_rendezvous.RendezvousClient(address(primary.listen), "valley", state, lambda: 0)
        rendezvous.start()
        await until(lambda: state.candidates)
        rendezvous.stop()
        assert set(state.candidates) == set(range(1, LARGE + 1))
