"""Opening an address: at once, or once the process before this one has let it go."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from ops import logs

from .config import Address

log = logs.get_logger(__name__)

RETRY_INTERVAL = 0.5  # seconds until an address that is taken is tried again


class NoStart(Exception):
    """The gateway can't start; the text says why and what to change, in one line."""


def refused(what: str, address: Address, wrong: OSError) -> NoStart:
    """What to tell of an address that can't be opened."""
    advice = {
        errno.EADDRINUSE: "another process listens there: end it or choose another port",
        errno.EADDRNOTAVAIL: "this machine has no such address",
        errno.EACCES: "no permission: ports below 1024 need it",
    }.get(wrong.errno, str(wrong))
    return NoStart(f"cannot listen for {what} at {address[0]}:{address[1]}: {advice}")


async def now(what: str, address: Address, listen: Callable[[], Awaitable[None]]) -> None:
    """Open it; raises NoStart."""
    try:
        await listen()
    except OSError as wrong:
        raise refused(what, address, wrong) from None


async def when_free(
    what: str, address: Address, listen: Callable[[], Awaitable[None]], patient: bool
) -> asyncio.Task[None] | None:
    """Open it; where another process may hold it for a while yet (``patient``), go on trying in a task."""
    try:
        await listen()
    except OSError as wrong:
        if not patient or wrong.errno != errno.EADDRINUSE:
            raise refused(what, address, wrong) from None
        return asyncio.get_running_loop().create_task(_try_on(what, address, listen))
    return None


async def _try_on(what: str, address: Address, listen: Callable[[], Awaitable[None]]) -> None:
    while True:
        log.error("address_taken", purpose=what, address=address, again_in_s=RETRY_INTERVAL)
        await asyncio.sleep(RETRY_INTERVAL)
        try:
            return await listen()
        except OSError as wrong:
            if wrong.errno != errno.EADDRINUSE:
                log.error("address_refused", purpose=what, address=address, error=wrong)
                return None
