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
    await _post(
        f'{base_url.rstrip("/")}/v1/operator/keys/{quoted}/withdraw', token
    )


async def _post(url: str, token: str) -> None:
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    request = httpclient.HTTPRequest(
        url,
        method='POST',
        body=b'',
        headers={'Authorization': f'Bearer {token}'},
        connect_timeout=TIMEOUT_S,
        request_timeout=TIMEOUT_S,
        follow_redirects=False,
    )
    try:
        response = await client.fetch(request, raise_error=False)
        if response.code == 200:
            return
        answer = msgspec.json.decode(response.body)
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
            codes.PEER_UNREACHABLE, f'no valid answer from {url}: {error!r}'
        ) from error
    finally:
        client.close()
    raise errors.ResultError(code, detail)
