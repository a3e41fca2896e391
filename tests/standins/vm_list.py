"""Stand-in for the platform's VM list service."""

import argparse
import asyncio
import hashlib
import json
import time
from typing import Any

from hypercorn.asyncio import serve
from hypercorn.config import Config


class VmListStandIn:
    """ASGI application whose VM list lags behind its latest changes.

    ``GET /vms`` returns the list as it was ``lag_s`` seconds ago.
    ``POST /control`` accepts a JSON object with any of these keys:

    - ``vms``: replaces the list;
    - ``set_state``: new states by VM id; ``null`` removes the VM;
    - ``lag_s``: lag of the returned list, in seconds;
    - ``outage``: whether all reads get a 503.
    """

    def __init__(self) -> None:
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self._lag_s = 0.0
        self._outage = False

    async def __call__(self, scope, receive, send) -> None:
        if scope['type'] != 'http':
            return
        body = b''
        while True:
            message = await receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                break
        if scope['path'] == '/control':
            self.apply_control(json.loads(body))
            await _respond(send, 200, {})
        elif self._outage:
            await _respond(send, 503, {})
        else:
            await self._respond_with_list(scope, send)

    async def _respond_with_list(self, scope, send) -> None:
        vms = self.list_visible()
        digest = hashlib.sha256(json.dumps(vms).encode()).hexdigest()
        etag = f'"{digest[:16]}"'.encode()
        if dict(scope['headers']).get(b'if-none-match') == etag:
            await _respond(send, 304, None, etag)
        else:
            await _respond(send, 200, {'vms': vms}, etag)

    def list_visible(self) -> list[dict[str, Any]]:
        """Return the list that ``GET /vms`` returns at this time."""
        visible_until = time.monotonic() - self._lag_s
        return [
            vms
            for changed_at, vms in self._versions
            if changed_at <= visible_until
        ][-1]

    def apply_control(self, changes: dict[str, Any]) -> None:
        """Change the list, its lag or the outage, as ``POST /control`` does.

        :param changes: new values by key.
        """
        self._lag_s = changes.get('lag_s', self._lag_s)
        self._outage = changes.get('outage', self._outage)
        vms = changes.get('vms', self._versions[-1][1])
        for vm_id, state in changes.get('set_state', {}).items():
            vms = [
                {**vm, 'state': state} if vm['vm_id'] == vm_id else vm
                for vm in vms
            ]
            if state is None:
                vms = [vm for vm in vms if vm['vm_id'] != vm_id]
        if vms is not self._versions[-1][1]:
            self._versions.append((time.monotonic(), vms))


async def _respond(
    send,
    status: int,
    body: dict[str, Any] | None,
    etag: bytes = b'',
) -> None:
    payload = b'' if body is None else json.dumps(body).encode()
    headers = [(b'content-type', b'application/json')]
    if etag:
        headers.append((b'etag', etag))
    headers.append((b'content-length', str(len(payload)).encode()))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': payload})


def main() -> None:
    """Serve the VM list on a loopback port until the process ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    config = Config()
    config.bind = [f'127.0.0.1:{parser.parse_args().port}']
    config.accesslog = None
    asyncio.run(serve(VmListStandIn(), config))


if __name__ == '__main__':
    main()
