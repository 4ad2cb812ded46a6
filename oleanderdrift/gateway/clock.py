"""The clocks of an instance, read at its edges only."""

import time


def monotonic() -> float:
    """Returns seconds that stand still while the machine is suspended."""
    return time.monotonic()


def boot() -> float:
    """Returns seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Returns the time of day in milliseconds."""
    return int(time.time() * 1_000)
