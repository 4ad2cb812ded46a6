"""Requests that come again are recognised by what their caller sent."""

import typing

import pytest

from oleanderdrift.gateway import fingerprints
from tests import gateway_support

REQUEST = gateway_support.request(body=b'plan', request_id='q1')


@pytest.mark.parametrize(
    ('changes', 'same'),
    [
        ({'request_id': 'q2', 'received': 9.0, 'deadline': 11.0}, True),
        ({'program_id': 'p2', 'previous_turn': 't2'}, True),
        ({'body': b'plan '}, False),
        ({'target': '/a/c'}, False),
        ({'method': 'PUT'}, False),
    ],
)
def test_fingerprint_is_that_of_target_and_body(
    changes: dict[str, typing.Any], same: bool
) -> None:
    other = gateway_support.request(**{'body': b'plan', **changes})
    first = fingerprints.fingerprint(REQUEST, 'ward')
    assert (fingerprints.fingerprint(other, 'ward') == first) is same


def test_callers_have_fingerprints_of_their_own() -> None:
    first = fingerprints.fingerprint(REQUEST, 'ward')
    assert fingerprints.fingerprint(REQUEST, 'desk') != first
    # The parts cannot be shifted into each other.
    shifted = gateway_support.request(body=b'plan', method='dPOST')
    assert fingerprints.fingerprint(shifted, 'war') != first
