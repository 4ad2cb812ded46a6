"""Client for the operator API of one instance."""

import typing
import urllib.parse

import msgspec
from tornado import curl_httpclient
from tornado import httpclient

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors

TIMEOUT_S: typing.Final = 10.0


async def withdraw_key(base_url: str, token: str, name: str) -> None:
    """Withdraws a key directly at an instance, without the log.

    It is safe to repeat, at this instance or another.  Raises
    ResultError(PEER_UNREACHABLE) if there is no valid response, else the
    ResultError that the instance reports.
    """
    quoted = urllib.parse.quote(name, safe='')
    path = f'/v1/operator/keys/{quoted}/withdraw'
    await _call(base_url, token, 'POST', path)


async def read_status(base_url: str, token: str) -> dict[str, typing.Any]:
    """Returns the status of an instance.

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
        body = dict(msgspec.json.decode(response.body))
        if response.code == 200:
            return body
        code = codes.TABLE[body['error']['code']]
        detail = str(body['error']['message'])
    except (
        httpclient.HTTPClientError,
        *decoding.DECODE_ERRORS,
        KeyError,
        TypeError,
    ) as error:
        raise errors.ResultError(
            codes.PEER_UNREACHABLE,
            f'no valid response from {base_url}{path}: {error!r}',
        ) from error
    finally:
        client.close()
    raise errors.ResultError(code, detail)
