"""Waits for one of several events."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable


async def wait_for_any(events: Iterable[asyncio.Event], timeout: float) -> None:
    """Wait until one of the events is set, for ``timeout`` seconds at most."""
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
