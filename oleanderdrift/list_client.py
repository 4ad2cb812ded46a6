"""Client for the platform's instance list, which may lag behind."""

import attrs
import msgspec
from tornado import curl_httpclient
from tornado import httpclient

from oleanderdrift import codes
from oleanderdrift import decoding
from oleanderdrift import errors


@attrs.frozen(kw_only=True)
class ListedInstance:
    """One entry of the instance list."""

    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: str


_DECODER = msgspec.json.Decoder(list[ListedInstance])


class ListClient:
    """Reads the instance list over HTTP."""

    def __init__(self, *, base_url: str, timeout_s: float) -> None:
        self.url = f'{base_url}/v1/instances'
        self.timeout_s = timeout_s
        self.client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Closes the client."""
        self.client.close()

    async def read(self) -> list[ListedInstance]:
        """Returns the list; raises ResultError(LOG_UNAVAILABLE) on failure."""
        try:
            response = await self.client.fetch(
                self.url,
                connect_timeout=self.timeout_s,
                request_timeout=self.timeout_s,
            )
            return _DECODER.decode(response.body)
        except (
            httpclient.HTTPError,
            *decoding.DECODE_ERRORS,
            OSError,
        ) as error:
            raise errors.ResultError(
                codes.LOG_UNAVAILABLE, f'instance list: {error}'
            ) from error
