"""Tests of an instance whose platform is unreachable."""

import json
import pathlib
import urllib.error
import urllib.request

import pytest

from standins import processes

SETTINGS = """
[instance]
name = "north-1"
data_centre = "north"
address = "127.0.0.1"
http_port = {http_port}
peer_port = 0
[platform]
log_url = "http://127.0.0.1:1"
list_url = "http://127.0.0.1:1"
[limits]
drain_grace_s = 0
"""


def test_instance_without_a_platform_refuses_requests_and_stops(
    tmp_path: pathlib.Path,
) -> None:
    port = processes.free_port('127.0.0.1')
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.format(http_port=port))
    arguments = ['-m', 'oleanderdrift', 'serve', '--settings', str(path)]
    started = processes.start(
        'north-1', arguments, tmp_path, '127.0.0.1', port
    )
    try:
        processes.await_health(started, '/metrics')
        with pytest.raises(urllib.error.HTTPError) as caught:
            urllib.request.urlopen(f'{started.url}/sheet/read')
        answer = json.load(caught.value)
        assert answer['error']['code'] == 6008
        with pytest.raises(urllib.error.HTTPError, match='503'):
            urllib.request.urlopen(f'{started.url}/healthz')
    finally:
        started.child.terminate()
        assert started.child.wait(timeout=20) == 0
