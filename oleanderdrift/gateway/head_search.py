"""Finds the end of a head whose bytes come little by little."""

import re
import typing

# An end that is not whole yet has fewer bytes.
MAX_END_BYTES: typing.Final = 4


class HeadSearch:
    """Searches each byte of a head about once, however it is cut.

    searched is how many bytes have been searched without a find.
    """

    def __init__(self) -> None:
        self.searched = 0

    def begin(self) -> None:
        """Searches another head from its first byte on."""
        self.searched = 0

    def find(self, pattern: re.Pattern[bytes], data: bytearray) -> int | None:
        """Returns where the pattern ends in all that came, None if nowhere.

        It may match MAX_END_BYTES at the most.
        """
        start = max(self.searched - MAX_END_BYTES + 1, 0)
        found = pattern.search(data, start)
        if found is not None:
            return found.end()
        self.searched = len(data)
        return None
