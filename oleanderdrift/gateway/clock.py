"""The clocks of an instance.

Only code at its boundaries reads them; the other code gets times passed in.
"""

import time


def monotonic() -> float:
    """Returns monotonic seconds, excluding time while suspended."""
    return time.monotonic()


def boot() -> float:
    """Returns monotonic seconds, including time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return int(time.time() * 1_000)
