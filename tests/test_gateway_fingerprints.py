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
    first = fingerprints.fingerprints(REQUEST, 'ward')
    assert (fingerprints.fingerprints(other, 'ward') == first) is same


def test_callers_have_fingerprints_of_their_own() -> None:
    first = fingerprints.fingerprints(REQUEST, 'ward')
    assert fingerprints.fingerprints(REQUEST, 'desk') != first
    # The parts cannot be shifted into each other.
    shifted = gateway_support.request(body=b'plan', method='dPOST')
    assert fingerprints.fingerprints(shifted, 'war') != first


def test_target_has_a_fingerprint_without_the_body() -> None:
    first = fingerprints.fingerprints(REQUEST, 'ward')
    other = gateway_support.request(body=b'another', request_id='q2')
    second = fingerprints.fingerprints(other, 'ward')
    assert second.request != first.request
    assert second.target == first.target
    assert fingerprints.is_target(first.target)
    assert not fingerprints.is_target(first.request)
