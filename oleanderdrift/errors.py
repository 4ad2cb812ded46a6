"""The one exception of the product: a result code with its detail."""

from oleanderdrift import codes


class ResultError(Exception):
    """Carries a result code out of a function that cannot go on.

    retry_after_s is the time after which a repeat is worth trying, in
    seconds, or None where a repeat cannot help.
    """

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = '',
        *,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{code.number} {code.name}: {detail or code.help}')
        self.code = code
        self.detail = detail or code.help
        self.retry_after_s = retry_after_s
