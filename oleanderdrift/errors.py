"""The exception that carries a result code and its detail."""

from oleanderdrift import codes


class ResultError(Exception):
    """Reports a failure by its result code.

    retry_after_s is the number of seconds after which a retry may
    succeed, or None if retrying cannot help.
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
