"""A front's connection carries one improper request, then orders with large bodies of three customers."""

from __future__ import annotations

import asyncio

from standins import TROUBLE, Bench, Client, customer, new_id, pack, terms

OPTIONS = {"hosts": 8, "gateways": 2, "memory_mb": 128, "sockets": 1024}

BODY_BYTES = 80_000


def improper() -> bytes:
    """Return a request that is not proper: its fourth value is an array that holds the body."""
    head = pack(b"CALL.POST", customer(1), new_id().encode()).replace(b"*3", b"*4", 1)
    return head + b"*1\r\n$%d\r\n%b\r\n" % (BODY_BYTES, b"X" * BODY_BYTES)


async def case(bench: Bench) -> bool:
    """Return whether each host got each order with the body that its customer sent."""
    front = await Client(bench, bench.gateways[0]).connect()
    if TROUBLE:
        front.send(improper())
        bench.note(f"a peer sends an improper request with {BODY_BYTES} bytes of X in a nested array")
        bench.note(f"the peer got {await front.answer()!r}; the connection stays open")

    sent: dict[str, tuple[int, bytes]] = {}
    for number, letter in enumerate(b"ABC", start=11):
        request, body = new_id(), bytes([letter]) * (BODY_BYTES + number)
        sent[request] = number, body
        front.send(
            pack(
                b"CALL.POST",
                customer(number),
                request.encode(),
                terms("order", "commercial", 10_000, key=f"{number:016x}"),
                body,
            )
        )
        bench.note(f"customer {number} sends order {request}, body of {len(body)} bytes of {chr(letter)}")
        async with asyncio.timeout(12):
            bench.note(f"customer {number} got {await front.answer()!r}")
    front.close()

    wrong = 0
    for host in bench.hosts:
        for run in host.ran:
            number, body = sent.get(run.id, (0, b""))
            is_same = run.body == body and run.customer == customer(number)
            wrong += not is_same
            bench.note(
                f"{host.name} ran order {run.id} of customer {number}: body of {len(run.body)} bytes of"
                f" {run.body[:1].decode()}{'' if is_same else ', NOT what this customer sent'}"
            )
    bench.note(f"{len(sent)} orders sent, {wrong} run with a body that is not theirs")
    return wrong == 0
