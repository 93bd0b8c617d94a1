"""Opening an address: at once, or once the process before this one has let it go."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from ops import logs

from .config import Address

log = logs.get(__name__)

RETRY_INTERVAL = 0.5  # seconds until an address that is taken is tried again


class StartupError(Exception):
    """The gateway can't start; the text says why and what to change, in one line."""


def listen_error(purpose: str, address: Address, error: OSError) -> StartupError:
    """What to tell of an address that can't be opened."""
    advice = {
        errno.EADDRINUSE: "another process listens there: end it or choose another port",
        errno.EADDRNOTAVAIL: "this machine has no such address",
        errno.EACCES: "no permission: ports below 1024 need it",
    }.get(error.errno, str(error))
    return StartupError(f"cannot listen for {purpose} at {address[0]}:{address[1]}: {advice}")


async def listen_now(purpose: str, address: Address, listen: Callable[[], Awaitable[None]]) -> None:
    """Open it; raises StartupError."""
    try:
        await listen()
    except OSError as error:
        raise listen_error(purpose, address, error) from None


async def listen_when_free(
    purpose: str, address: Address, listen: Callable[[], Awaitable[None]], retry: bool
) -> asyncio.Task[None] | None:
    """Open it; where another process may hold it for a while yet (``retry``), go on trying in a task."""
    try:
        await listen()
    except OSError as error:
        if not retry or error.errno != errno.EADDRINUSE:
            raise listen_error(purpose, address, error) from None
        return asyncio.get_running_loop().create_task(_retry(purpose, address, listen))
    return None


async def _retry(purpose: str, address: Address, listen: Callable[[], Awaitable[None]]) -> None:
    while True:
        log.error("address_taken", purpose=purpose, address=address, again_in_s=RETRY_INTERVAL)
        await asyncio.sleep(RETRY_INTERVAL)
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                log.error("address_refused", purpose=purpose, address=address, error=error)
                return None
