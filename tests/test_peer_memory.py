"""The measurement of what bad peers cost, short; the whole is started by hand (docs/lab.md)."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from lab.gateway_play import Play
from lab.peer_memory import KINDS, describe, play_peers
from lab.pressure import violations

KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


@pytest.mark.parametrize(
    "kind", [kind for kind in KINDS if "missing" in kind.name], ids=lambda kind: kind.name
)
def test_junk_lacks_no_more_than_its_end(kind):
    """A peer whose command is whole, or far from it, would measure something else than what its name says."""
    reader, data = hiredis.Reader(), kind.data(7)
    reader.feed(data)
    assert reader.gets() is False
    reader.feed(b"x\r\n"[-3 if "body" in kind.name else -1 :])
    assert reader.gets()[0] in (b"CALL.POST", b"CALL.GET")


@pytest.mark.parametrize("name", ["small body, last byte missing", "PING, answers unread"])
def test_peers_are_measured_beside_sound_clients(name):
    play = Play(1, 3.0, 64, hostile=60)
    seen = asyncio.run(play_peers(play, KINDS_BY_NAME[name]))
    assert violations(seen) == []
    assert sum(request.outcome == "served" for request in seen.requests) > len(seen.requests) // 2
    assert describe(KINDS_BY_NAME[name], play, seen).startswith(f"| {name} | ")
