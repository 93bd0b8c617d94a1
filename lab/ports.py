"""Ports on loopback for what is started next, chosen where the system gives none away by itself.

Between the choice and its use nobody else may choose the same: processes of one user take turns by a counter
in a small file, so that a port comes round again only after all others of the range.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import random
import socket
from pathlib import Path

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST = 10_000
# Not in $TMPDIR: programs with different ones share the machine's ports all the same.
COUNTER = Path("/tmp") / f"birchdrum-ports-{os.getuid()}"
draw = random.SystemRandom()


def below() -> int:
    """The first port that the system may give to outgoing connections: one from there on could be taken
    between the choice and its use by any connection on this machine."""
    try:
        first = int(RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32_768
    return first if first > LEAST + 1_000 else 65_536


def _turns(count: int, size: int) -> int:
    """The first of so many numbers below ``size`` that nobody else gets; where no file can be kept, any."""
    with contextlib.suppress(OSError):
        handle = os.open(COUNTER, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX)
            text = os.pread(handle, 32, 0).strip()
            first = int(text) if text.isdigit() else draw.randrange(size)
            os.pwrite(handle, b"%-20d\n" % ((first + count) % size), 0)
            return first % size
        finally:
            os.close(handle)
    return draw.randrange(size)


def allocate(count: int) -> list[int]:
    """So many different ports that nobody listens at now, for TCP nor UDP."""
    found: list[int] = []
    size = below() - LEAST
    while len(found) < count:
        wanted = count - len(found)
        first = _turns(wanted, size)
        ports = [LEAST + (first + i) % size for i in range(wanted)]
        found += [port for port in ports if port not in found and _is_free(port)]
    return found


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
