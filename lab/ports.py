"""Allocates loopback ports for processes about to be started, outside the system's ephemeral port range.

A port must not be allocated again between its allocation and its use. Processes of one user therefore share a
counter in a small file, and a port is reused only after all others of the range.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import random
import socket
from pathlib import Path

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
PORT_MIN = 10_000
# Not in $TMPDIR: processes with different TMPDIRs still share the machine's ports.
COUNTER_FILE = Path("/tmp") / f"birchdrum-ports-{os.getuid()}"
random_source = random.SystemRandom()


def port_limit() -> int:
    """Return the exclusive upper bound of the ports to allocate: the first ephemeral port of the system.

    Any outgoing connection on this machine could take a higher port between its allocation and its use. Where
    the bound leaves 1000 ports or fewer, all ports up to 65535 are used.
    """
    try:
        first = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = 32_768
    return first if first > PORT_MIN + 1_000 else 65_536


def _reserve(count: int, size: int) -> int:
    """Reserve ``count`` consecutive numbers modulo ``size`` and return the first.

    Return a random number if the counter file can't be used.
    """
    with contextlib.suppress(OSError):
        descriptor = os.open(COUNTER_FILE, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            text = os.pread(descriptor, 32, 0).strip()
            first = int(text) if text.isdigit() else random_source.randrange(size)
            os.pwrite(descriptor, b"%-20d\n" % ((first + count) % size), 0)
            return first % size
        finally:
            os.close(descriptor)
    return random_source.randrange(size)


def allocate(count: int) -> list[int]:
    """Return ``count`` different ports on which nothing listens now, neither by TCP nor by UDP."""
    allocated: list[int] = []
    size = port_limit() - PORT_MIN
    while len(allocated) < count:
        missing = count - len(allocated)
        first = _reserve(missing, size)
        candidates = [PORT_MIN + (first + i) % size for i in range(missing)]
        allocated += [port for port in candidates if port not in allocated and _is_free(port)]
    return allocated


def _is_free(port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
