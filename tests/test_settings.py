"""Tests of the settings check."""

import pathlib

import pytest

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import settings

GOOD = """
[instance]
name = "north-1"
data_centre = "north"
address = "127.0.0.1"
http_port = 8080
peer_port = 0
[platform]
log_url = "http://127.0.0.1:1"
list_url = "http://127.0.0.1:2"
"""


def test_defaults_are_filled_in(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'good.toml'
    path.write_text(GOOD)
    assert settings.load(path).fleet.lease_s == 20.0


@pytest.mark.parametrize(
    ('old', 'new', 'faults'),
    [
        ('http_port = 8080', 'http_port = 70000', ['found 70000']),
        ('http_port = 8080', 'http_port = true', ['found True']),
        ('http_port = 8080', '', ['http_port: missing']),
        ('"127.0.0.1"', '"here"', ['an IP address']),
        ('name =', 'nane = "x"\nname =', ['nearest is name']),
        ('[platform]', '[plattform]', ['nearest is platform', 'log_url']),
        (
            '"north-1"\ndata_centre = "north"',
            '"North"\ndata_centre = 3',
            ["found 'North'", 'found 3'],
        ),
        ('[instance]', '[instance', ['is not TOML']),
    ],
)
def test_every_fault_is_listed(
    tmp_path: pathlib.Path, old: str, new: str, faults: list[str]
) -> None:
    path = tmp_path / 'bad.toml'
    path.write_text(GOOD.replace(old, new, 1))
    with pytest.raises(errors.ResultError) as caught:
        settings.load(path)
    assert caught.value.code is codes.SETTINGS_INVALID
    for fault in faults:
        assert fault in caught.value.detail
