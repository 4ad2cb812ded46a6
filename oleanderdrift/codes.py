"""Definitions of all numbered result codes.

Every refusal, error and verdict on an operator's change carries one of
these codes.  A code determines its HTTP status and whether the request
was run, so that callers never have to infer "not run" from message text.
docs/CODES.md is checked against this table.
"""

import enum
import typing

import attrs


class Execution(enum.StrEnum):
    """Whether a request was run on an upstream, as far as is known."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@attrs.frozen(kw_only=True)
class ResultCode:
    """One result code: number, name, HTTP status and meaning."""

    number: int
    name: str
    status: int
    execution: Execution
    help: str


def _entry(
    number: int, name: str, status: int, execution: Execution, text: str
) -> ResultCode:
    return ResultCode(
        number=number,
        name=name,
        status=status,
        execution=execution,
        help=text,
    )


_NOT_RUN: typing.Final = Execution.NOT_RUN
_UNKNOWN: typing.Final = Execution.UNKNOWN
_RAN: typing.Final = Execution.RAN

OK: typing.Final = _entry(0, 'ok', 200, _RAN, 'Done.')

# 1000: malformed or unroutable requests.
BAD_REQUEST: typing.Final = _entry(
    1000, 'bad-request', 400, _NOT_RUN, 'The request cannot be understood.'
)
BODY_TOO_LARGE: typing.Final = _entry(
    1001, 'body-too-large', 413, _NOT_RUN, 'The body is over the limit.'
)
MALFORMED_JSON: typing.Final = _entry(
    1002, 'malformed-json', 400, _NOT_RUN, 'The body is not the JSON expected.'
)
UNKNOWN_MODEL: typing.Final = _entry(
    1003, 'unknown-model', 404, _NOT_RUN, 'No such model is configured.'
)
UNKNOWN_CLASS: typing.Final = _entry(
    1004,
    'unknown-class',
    400,
    _NOT_RUN,
    'No such program class is configured.',
)
UNKNOWN_ROUTE: typing.Final = _entry(
    1005, 'unknown-route', 404, _NOT_RUN, 'No route leads here.'
)
BAD_FRAMING: typing.Final = _entry(
    1006,
    'bad-framing',
    400,
    _NOT_RUN,
    'The message length is given twice or the chunking is broken.',
)
SLOW_SENDER: typing.Final = _entry(
    1007, 'slow-sender', 408, _NOT_RUN, 'The request did not arrive in time.'
)
KEY_IN_REQUEST: typing.Final = _entry(
    1008,
    'key-in-request',
    400,
    _NOT_RUN,
    'The key stands outside the Authorization header.',
)
HEAD_TOO_LARGE: typing.Final = _entry(
    1009, 'head-too-large', 431, _NOT_RUN, 'The head is over the limit.'
)

# 2000: authentication and authorization.
MISSING_KEY: typing.Final = _entry(
    2000, 'missing-key', 401, _NOT_RUN, 'Send Authorization: Bearer KEY.'
)
UNKNOWN_KEY: typing.Final = _entry(
    2001, 'unknown-key', 401, _NOT_RUN, 'The key is unknown or withdrawn.'
)
KEY_WITHDRAWN: typing.Final = _entry(
    2002,
    'key-withdrawn',
    401,
    _UNKNOWN,
    'The key was withdrawn while the call was open; the call was ended.',
)
KEYS_UNVERIFIABLE: typing.Final = _entry(
    2003,
    'keys-unverifiable',
    503,
    _NOT_RUN,
    'Configuration is older than the key grace period allows, or was not '
    'read since the instance was paused.',
)
OPERATOR_ONLY: typing.Final = _entry(
    2004, 'operator-only', 403, _NOT_RUN, 'An operator token is needed here.'
)

# 3000: rate limits, overload and budgets.
RATE_EXCEEDED: typing.Final = _entry(
    3000,
    'rate-exceeded',
    429,
    _NOT_RUN,
    'The client account is over its rate and burst.',
)
OVERLOADED: typing.Final = _entry(
    3001, 'overloaded', 503, _NOT_RUN, 'No upstream can take the call in time.'
)
BUDGET_EXHAUSTED: typing.Final = _entry(
    3002, 'budget-exhausted', 403, _NOT_RUN, "The program's budget is used up."
)

TOKENS_SPENT: typing.Final = _entry(
    3003,
    'tokens-spent',
    402,
    _NOT_RUN,
    "The program's token budget holds no further call.",
)

MEMORY_EXHAUSTED: typing.Final = _entry(
    3004,
    'memory-exhausted',
    503,
    _NOT_RUN,
    'The instance holds as many bytes of requests and answers as it may.',
)

# 4000: programs.
PROGRAM_REQUIRED: typing.Final = _entry(
    4000, 'program-required', 400, _NOT_RUN, 'This route needs a program.'
)
UNKNOWN_PROGRAM: typing.Final = _entry(
    4001,
    'unknown-program',
    404,
    _NOT_RUN,
    'The client account has no such program.',
)
PROGRAM_ENDED: typing.Final = _entry(
    4002, 'program-ended', 409, _NOT_RUN, 'The program has ended.'
)
OUT_OF_ORDER: typing.Final = _entry(
    4003, 'out-of-order', 409, _NOT_RUN, "Not the program's next call."
)
CALL_IN_PROGRESS: typing.Final = _entry(
    4004,
    'call-in-progress',
    409,
    _UNKNOWN,
    'This call is under way; its outcome is not known yet.',
)
BODY_MISMATCH: typing.Final = _entry(
    4005,
    'body-mismatch',
    422,
    _NOT_RUN,
    'The idempotency key was used with another body.',
)
OUTCOME_UNKNOWN: typing.Final = _entry(
    4006,
    'outcome-unknown',
    409,
    _UNKNOWN,
    'The call may have run; it will not be run again.',
)
HISTORY_MISMATCH: typing.Final = _entry(
    4007,
    'history-mismatch',
    409,
    _NOT_RUN,
    'The messages sent do not continue the recorded history.',
)
OWNER_UNAVAILABLE: typing.Final = _entry(
    4008,
    'owner-unavailable',
    503,
    _NOT_RUN,
    "No instance can prove ownership of the program's shard now.",
)
ALREADY_RAN: typing.Final = _entry(
    4009,
    'already-ran',
    409,
    _RAN,
    'The call ran to its end; its answer is no longer held.',
)

OUTCOME_UNAVAILABLE: typing.Final = _entry(
    4010,
    'outcome-unavailable',
    503,
    _UNKNOWN,
    'The owner cannot be asked now; an earlier attempt may have run.',
)
UNKNOWN_TURN: typing.Final = _entry(
    4011,
    'unknown-turn',
    404,
    _NOT_RUN,
    'The client account has no such earlier turn.',
)


# 5000: upstreams.
UPSTREAM_UNREACHABLE: typing.Final = _entry(
    5000, 'upstream-unreachable', 502, _NOT_RUN, 'No connection was made.'
)
UPSTREAM_FAILED: typing.Final = _entry(
    5001,
    'upstream-failed',
    502,
    _UNKNOWN,
    'The upstream broke off before the whole answer.',
)
REQUEST_BLOCKED: typing.Final = _entry(
    5005,
    'request-blocked',
    503,
    _NOT_RUN,
    'Upstreams crashed while they ran this request; it is not sent again.',
)
UPSTREAM_TIMEOUT: typing.Final = _entry(
    5002, 'upstream-timeout', 504, _UNKNOWN, 'The upstream went silent.'
)
STREAM_UNKNOWN: typing.Final = _entry(
    5006,
    'stream-unknown',
    503,
    _NOT_RUN,
    'The stream cannot go on: what began it is not known; begin it anew.',
)
FENCED: typing.Final = _entry(
    5003,
    'fenced',
    409,
    _NOT_RUN,
    'The upstream saw a newer fencing token.',
)
NO_UPSTREAM: typing.Final = _entry(
    5004,
    'no-upstream',
    503,
    _NOT_RUN,
    'No upstream of the service took the request.',
)


# 6000: platform, configuration and peers.
LOG_UNAVAILABLE: typing.Final = _entry(
    6000, 'log-unavailable', 503, _NOT_RUN, 'The log service does not answer.'
)
CONFIG_CONFLICT: typing.Final = _entry(
    6001,
    'config-conflict',
    409,
    _NOT_RUN,
    'The object has changed since the version the change names.',
)
CONFIG_INVALID: typing.Final = _entry(
    6002, 'config-invalid', 400, _NOT_RUN, 'The change is not valid.'
)
CONFIG_UNCONFIRMED: typing.Final = _entry(
    6003,
    'config-unconfirmed',
    503,
    _UNKNOWN,
    'The change may be in the log; it was not read back in time.',
)
PEER_UNREACHABLE: typing.Final = _entry(
    6004, 'peer-unreachable', 503, _NOT_RUN, 'The peer does not answer.'
)
SHUTTING_DOWN: typing.Final = _entry(
    6005, 'shutting-down', 503, _NOT_RUN, 'The instance is shutting down.'
)
APPEND_UNCONFIRMED: typing.Final = _entry(
    6006,
    'append-unconfirmed',
    503,
    _UNKNOWN,
    'The record may be in the log; the answer to its append was lost.',
)

CONFIG_LOST: typing.Final = _entry(
    6007,
    'config-lost',
    503,
    _NOT_RUN,
    'The log has trimmed the configuration; restore it from a file.',
)

NOT_READY: typing.Final = _entry(
    6008,
    'not-ready',
    503,
    _NOT_RUN,
    'The instance has started and does not know the configuration yet.',
)

# 7000: settings and command line.
SETTINGS_INVALID: typing.Final = _entry(
    7000, 'settings-invalid', 500, _NOT_RUN, 'The settings file has faults.'
)

# 9000: internal invariant checks.
INVARIANT_BROKEN: typing.Final = _entry(
    9000,
    'invariant-broken',
    500,
    _UNKNOWN,
    'An invariant check failed; the action was stopped.',
)
WORK_ENDED: typing.Final = _entry(
    9001,
    'work-ended',
    503,
    _NOT_RUN,
    'The work on the request ended before it was sent to an upstream.',
)

TABLE: typing.Final[dict[int, ResultCode]] = {
    entry.number: entry
    for entry in list(globals().values())
    if isinstance(entry, ResultCode)
}
