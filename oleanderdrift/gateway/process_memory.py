"""What the process uses and may use, as the kernel and allocator know it."""

import ctypes
import pathlib
import resource
import typing

_STATM: typing.Final = pathlib.Path('/proc/self/statm')
# Options of mallopt in the GNU C library.
_M_TRIM_THRESHOLD: typing.Final = -1
_M_MMAP_THRESHOLD: typing.Final = -3
_M_ARENA_MAX: typing.Final = -8
# A block of this size is returned to the system as soon as it is freed.  By
# default, the allocator raises the threshold up to 32 MiB with each block
# that is freed, and then keeps the memory of large bodies.
RETURNED_BYTES: typing.Final = 131_072


def resident_bytes() -> int:
    """Returns the memory that the process uses now."""
    pages = int(_STATM.read_text().split()[1])
    return pages * resource.getpagesize()


def descriptor_limit(stated: int) -> int:
    """Returns how many descriptors may be open; stated is 0 for none."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return stated or 1 << 20
    return min(stated, allowed) if stated else allowed


def return_freed_memory() -> None:
    """Has the allocator return large blocks when they are freed.

    Other C libraries than GNU's have no such option, and keep their ways.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, RETURNED_BYTES)
    mallopt(_M_TRIM_THRESHOLD, RETURNED_BYTES)
    mallopt(_M_ARENA_MAX, 1)
