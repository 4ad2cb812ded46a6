"""The body of a request while it arrives."""

from oleanderdrift.gateway import held_bytes


class RequestBody:
    """Bytes that are counted for as long as they are here.

    They go when their count ends, whoever still refers to this object, and
    their count ends when they go.  After take(), both are its caller's, until
    it calls drop().
    """

    def __init__(self, holder: held_bytes.Holder) -> None:
        self.holder = holder
        # One block, which the allocator moves without copying it.
        self.data = bytearray()

    def append(self, data: bytes) -> None:
        """Adds bytes; this or another request may be refused for them."""
        if not self.holder.is_open:
            return
        self.data += data
        self.holder.grow(len(data))

    def take(self) -> bytes:
        """Returns the whole body, which is not refused any more."""
        data = bytes(self.data)
        self.data = bytearray()
        return data

    def drop(self) -> None:
        """Ends the count, and frees what is here."""
        self.data = bytearray()
        self.holder.release()
