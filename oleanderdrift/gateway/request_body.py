"""What is held of a request: its head, and its body while that arrives."""

import mmap
import typing

from oleanderdrift.gateway import held_bytes

# A longer body is kept outside of the allocator's heap: many that grow and go
# there leave gaps that it does not return to the system.
MAX_HEAP_BYTES: typing.Final = 16_384
BLOCK_BYTES: typing.Final = 262_144


class RequestBody:
    """Bytes that are counted for as long as they are here.

    They go when their count ends, whoever still refers to this object, and
    their count ends when they go.  After take(), both are its caller's, until
    it calls drop().

    The beginning is in data, the rest in private blocks of memory, which take
    space only as far as they are written.  filled is how much of the last one
    is.
    """

    def __init__(self, holder: held_bytes.Holder) -> None:
        self.holder = holder
        self.data = bytearray()
        self.blocks: list[mmap.mmap] = []
        self.filled = BLOCK_BYTES

    def hold_head(self, count: int) -> None:
        """Counts what the head of the request takes, beside its body."""
        self.holder.grow(count)

    def append(self, data: bytes) -> None:
        """Adds bytes; this or another request may be refused for them."""
        if not self.holder.is_open:
            return
        if not self.blocks and len(self.data) + len(data) <= MAX_HEAP_BYTES:
            self.data += data
        else:
            self.append_to_blocks(memoryview(data))
        self.holder.grow(len(data))

    def append_to_blocks(self, left: memoryview) -> None:
        """Copies bytes into blocks, new ones where they are needed."""
        while left:
            if self.filled == BLOCK_BYTES:
                self.blocks.append(_new_block())
                self.filled = 0
            count = min(len(left), BLOCK_BYTES - self.filled)
            end = self.filled + count
            self.blocks[-1][self.filled : end] = left[:count]
            self.filled = end
            left = left[count:]

    def take(self) -> bytes:
        """Returns the whole body, which is not refused any more."""
        parts: list[bytearray | memoryview] = [self.data]
        parts += map(memoryview, self.blocks)
        if self.blocks:
            parts[-1] = parts[-1][: self.filled]
        taken = b''.join(parts)
        del parts
        self.free()
        return taken

    def drop(self) -> None:
        """Ends the count, and frees what is here."""
        self.free()
        self.holder.release()

    def free(self) -> None:
        """Returns the memory to the system."""
        self.data = bytearray()
        for block in self.blocks:
            block.close()
        self.blocks.clear()
        self.filled = BLOCK_BYTES


def _new_block() -> mmap.mmap:
    """Returns memory of this process alone."""
    block = mmap.mmap(
        -1, BLOCK_BYTES, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
    )
    # Else the first byte may take a page of 2 MiB, with neighbouring blocks.
    block.madvise(mmap.MADV_NOHUGEPAGE)
    return block
