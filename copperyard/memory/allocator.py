"""Settings of the C library's allocator."""

import ctypes
from contextlib import suppress
from typing import Final

# Parameters of mallopt in malloc.h of glibc.
_TRIM_THRESHOLD: Final = -1
_MMAP_THRESHOLD: Final = -3
# Larger blocks are mapped one by one. The event loop's buffer for received
# bytes is half as large, and mapping it for each read would cost time.
MAPPED_MIN_BYTES: Final = 512 * 1024
# Free memory at the end of the heap above this is returned.
TRIMMED_MIN_BYTES: Final = 1024 * 1024


def bound_kept_memory() -> None:
    """Let the memory of large objects return to the kernel when it is freed.

    By default glibc raises both thresholds to the size of the blocks that are
    freed, up to 32 and 64 MiB, and keeps the memory of the next ones. Other C
    libraries are left as they are.
    """
    with suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(_MMAP_THRESHOLD, MAPPED_MIN_BYTES)
        library.mallopt(_TRIM_THRESHOLD, TRIMMED_MIN_BYTES)


def trim_heap() -> None:
    """Return the free pages inside the heap to the kernel.

    A body that grows begins as a small block in the heap and may stay there;
    the blocks of others above it keep its memory when it is freed.
    """
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
