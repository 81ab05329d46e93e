"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

# From <malloc.h> of the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 128 * 1024


def return_freed_memory() -> None:
    """Makes the allocator return large blocks when they are freed.

    It raises its threshold up to 32 MB otherwise, as large blocks are freed.
    Bodies that grow side by side then leave gaps that stay resident. Other
    C libraries lack the function, and nothing is changed.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)
        mallopt(_M_TRIM_THRESHOLD, _THRESHOLD_BYTES)
