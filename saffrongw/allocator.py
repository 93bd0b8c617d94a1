"""Returns memory that the C library's allocator keeps free to the system.

The allocator keeps what is freed below the top of its heap, and raises its thresholds as large blocks are
freed, so the resident memory would stay near its peak. The platform's limit is on the resident memory.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable

KEEP_AT_TOP_BYTES = 0  # of the heap, which the allocator may keep for its next blocks


def find_trim() -> Callable[[], None]:
    """Return a function that gives free memory back; it does nothing where the C library has none."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is None:
        return lambda: None
    trim.argtypes, trim.restype = (ctypes.c_size_t,), ctypes.c_int
    return lambda: trim(KEEP_AT_TOP_BYTES)
