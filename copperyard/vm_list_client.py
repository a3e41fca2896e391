"""HTTP client of the platform's VM list."""

from typing import Final

from httpx import AsyncBaseTransport, HTTPError, Response, codes
from returns.result import Failure, Result, Success

from copperyard.platform_http import PlatformHttpClient
from copperyard.vm_list import Vm, VmListError, decode_vm_list

READ_TIMEOUT_S: Final = 2.0


class VmListClient:
    """Reads the VM list over HTTP.

    :param base_url: base URL of the service that provides the list.
    :param transport: httpx transport, closed by ``close``; a default one is
        created if absent.
    """

    def __init__(
        self,
        base_url: str,
        transport: AsyncBaseTransport | None = None,
    ) -> None:
        self._http = PlatformHttpClient(base_url, transport)
        self._etag = ''
        self._cached_vms: tuple[Vm, ...] = ()

    async def read(self) -> Result[tuple[Vm, ...], VmListError]:
        """Read the list.

        The request is conditional if the service sends entity tags, because
        a list of 24,000 VMs takes 2.7 MB and changes only a few times a
        minute.

        :returns: the VMs, the same object as before if the list has not
            changed, or why it could not be read.
        """
        try:
            response = await self._http.call(
                'GET',
                '/vms',
                READ_TIMEOUT_S,
                etag=self._etag,
            )
        except HTTPError as error:
            return Failure(VmListError(repr(error)))
        if response.status_code == codes.NOT_MODIFIED:
            return Success(self._cached_vms)
        if response.status_code != codes.OK:
            return Failure(
                VmListError(f'expected status 200, got {response.status_code}')
            )
        return self._decode(response)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    def _decode(
        self,
        response: Response,
    ) -> Result[tuple[Vm, ...], VmListError]:
        try:
            body = response.json()
        except (ValueError, RecursionError) as error:
            return Failure(VmListError(str(error)))
        decoded = decode_vm_list(body)
        if isinstance(decoded, Success):
            self._cached_vms = decoded.unwrap()
            self._etag = response.headers.get('etag', '')
        return decoded
