"""Token buckets with a fixed fraction of an account's limits."""

import pytest

from bench import static_shares as shares
from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import model

ACCOUNT = model.ClientAccount(name='a', rate_per_s=4.0, burst=8)


@pytest.mark.parametrize(
    ('fraction', 'times_s', 'admitted'),
    [
        (1.0, [0.0] * 20, 8),
        (0.5, [0.0] * 20, 4),
        (0.5, [0.0] * 10 + [1.0] * 10, 6),
        (0.5, [0.0] * 10 + [100.0] * 10, 8),
        (0.1, [0.0], 0),
    ],
)
def test_bucket_admits_its_fraction(
    fraction: float, times_s: list[float], admitted: int
) -> None:
    state = shares.Shares(instance='i', fraction=fraction)
    count = 0
    for now in times_s:
        try:
            shares.admit(state, now, ACCOUNT)
            count += 1
        except errors.ResultError as error:
            assert error.code is codes.RATE_EXCEEDED
            assert error.retry_after_s is not None
            assert error.retry_after_s > 0.0
    assert count == admitted
