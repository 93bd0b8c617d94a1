"""Opens listening addresses: at once, or as soon as another process releases them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from ops import logs

from .config import Address

log = logs.get_logger(__name__)

RETRY_INTERVAL = 0.5  # seconds between attempts to open an address that is in use


class StartupError(Exception):
    """The gateway cannot start; the text is one line that says why and what to change."""


def listen_error(purpose: str, address: Address, error: OSError) -> StartupError:
    """Return an error that says why an address cannot be opened, and what to do about it."""
    advice = {
        errno.EADDRINUSE: "another process listens there: end it or choose another port",
        errno.EADDRNOTAVAIL: "this machine has no such address",
        errno.EACCES: "no permission: ports below 1024 need it",
    }.get(error.errno, str(error))
    return StartupError(f"cannot listen for {purpose} at {address[0]}:{address[1]}: {advice}")


async def listen_now(purpose: str, address: Address, listen: Callable[[], Awaitable[None]]) -> None:
    """Open an address; raise StartupError if that fails."""
    try:
        await listen()
    except OSError as error:
        raise listen_error(purpose, address, error) from None


async def listen_when_free(
    purpose: str, address: Address, listen: Callable[[], Awaitable[None]], retry: bool
) -> asyncio.Task[None] | None:
    """Open an address; with ``retry``, keep trying in a task while another process holds it."""
    try:
        await listen()
    except OSError as error:
        if not retry or error.errno != errno.EADDRINUSE:
            raise listen_error(purpose, address, error) from None
        return asyncio.get_running_loop().create_task(_retry_until_released(purpose, address, listen))
    return None


async def _retry_until_released(
    purpose: str, address: Address, listen: Callable[[], Awaitable[None]]
) -> None:
    """Retry until the other process releases the address.

    Gives up on any other error, which waiting does not resolve; the gateway then runs without this address.
    """
    while True:
        log.error("address_taken", purpose=purpose, address=address, again_in_s=RETRY_INTERVAL)
        await asyncio.sleep(RETRY_INTERVAL)
        try:
            return await listen()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                log.error("address_refused", purpose=purpose, address=address, error=error)
                return None
