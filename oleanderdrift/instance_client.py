"""The operators' client of one instance."""

import typing
import urllib.parse

import msgspec
from tornado import curl_httpclient
from tornado import httpclient

from oleanderdrift import codes
from oleanderdrift import errors

TIMEOUT_S: typing.Final = 10.0


async def withdraw_key(base_url: str, token: str, name: str) -> None:
    """Withdraws a key directly at an instance, without the log.

    May be repeated, here or at another instance.  Raises ResultError
    PEER_UNREACHABLE if no answer comes, else what the instance says.
    """
    quoted = urllib.parse.quote(name, safe='')
    path = f'/v1/operator/keys/{quoted}/withdraw'
    await _call(base_url, token, 'POST', path)


async def read_status(base_url: str, token: str) -> dict[str, typing.Any]:
    """Returns what an instance says of itself and the fleet.

    Raises ResultError as withdraw_key does.
    """
    return await _call(base_url, token, 'GET', '/v1/status')


async def _call(
    base_url: str, token: str, method: str, path: str
) -> dict[str, typing.Any]:
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    request = httpclient.HTTPRequest(
        base_url.rstrip('/') + path,
        method=method,
        body=b'' if method == 'POST' else None,
        headers={'Authorization': f'Bearer {token}'},
        connect_timeout=TIMEOUT_S,
        request_timeout=TIMEOUT_S,
        follow_redirects=False,
    )
    try:
        response = await client.fetch(request, raise_error=False)
        answer = dict(msgspec.json.decode(response.body))
        if response.code == 200:
            return answer
        code = codes.TABLE[answer['error']['code']]
        detail = str(answer['error']['message'])
    except (
        httpclient.HTTPClientError,
        msgspec.MsgspecError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.ResultError(
            codes.PEER_UNREACHABLE,
            f'no valid answer from {base_url}{path}: {error!r}',
        ) from error
    finally:
        client.close()
    raise errors.ResultError(code, detail)
