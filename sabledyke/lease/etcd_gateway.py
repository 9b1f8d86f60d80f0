"""Client of etcd version 3 over its JSON gateway, in plain HTTP.

The JSON form has 64-bit numbers as strings and bytes in base64, and omits fields that are 0, false or empty.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import orjson

from sabledyke.errors import AuthorityError

MAX_RESPONSE_BYTES = 1 << 20
JSON_HEADERS = {"Content-Type": "application/json"}
JsonObject = dict[str, Any]

GRPC_NOT_FOUND = 5
HTTP_OK = 200
HTTP_NOT_FOUND = 404
MAX_LOGGED_MESSAGE_CHARS = 100


class EtcdGateway:
    """Calls one endpoint at a time, and switches to the next after a call that failed or was cancelled.

    Connections are kept open between calls: a new connection for each call costs three to four times the CPU
    on both sides.
    """

    def __init__(self, endpoints: Sequence[str], timeout_ms: float) -> None:
        """Create a gateway; connections are opened by the first call.

        Args:
            endpoints: Addresses (host:port) of the etcd servers.
            timeout_ms: Time limit for one call.
        """
        self._endpoints = list(endpoints)
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        self._client: aiohttp.ClientSession | None = None  # created in the event loop that it is used in

    async def call(self, path: str, body: JsonObject) -> JsonObject:
        """Call a method of etcd.

        Returns:
            The object of the response; {} if the named object does not exist.

        Raises:
            AuthorityError: No usable response arrived.
        """
        try:
            return await self._post(path, body)
        except TimeoutError as error:
            self._use_next_endpoint()
            raise AuthorityError(f"etcd: {path}: no answer in time") from error
        except asyncio.CancelledError:
            # The lease request that this call belongs to has timed out: the endpoint may be unresponsive.
            self._use_next_endpoint()
            raise
        except (aiohttp.ClientError, OSError, orjson.JSONDecodeError) as error:
            self._use_next_endpoint()
            raise AuthorityError(f"etcd: {path}: {error}") from error
        except AuthorityError:
            self._use_next_endpoint()
            raise

    async def close(self) -> None:
        """Close the connections to etcd."""
        if self._client is not None:
            await self._client.close()

    async def _post(self, path: str, body: JsonObject) -> JsonObject:
        if self._client is None:
            self._client = aiohttp.ClientSession(timeout=self._timeout)
        url = f"http://{self._endpoints[0]}/v3/{path}"
        async with self._client.post(url, data=orjson.dumps(body), headers=JSON_HEADERS) as response:
            text = await _read_bounded(response)
        result = orjson.loads(text) if response.status != HTTP_NOT_FOUND else {}
        if not isinstance(result, dict):
            raise AuthorityError(f"etcd: {path}: status {response.status}, body is not a JSON object")
        if response.status == HTTP_NOT_FOUND or result.get("code") == GRPC_NOT_FOUND:
            return {}  # the usual response for a lease that has expired
        if response.status != HTTP_OK:
            message = str(result.get("message"))[:MAX_LOGGED_MESSAGE_CHARS]
            raise AuthorityError(f"etcd: {path}: status {response.status}, {message}")
        return result

    def _use_next_endpoint(self) -> None:
        self._endpoints.append(self._endpoints.pop(0))


def encode_base64(data: bytes) -> str:
    """Encode bytes as the gateway expects them."""
    return base64.b64encode(data).decode()


def decode_base64(text: str) -> bytes:
    """Decode bytes as the gateway returns them."""
    return base64.b64decode(text)


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > MAX_RESPONSE_BYTES:
            raise AuthorityError(f"etcd: response is longer than {MAX_RESPONSE_BYTES} bytes")
    return bytes(data)
