"""Controller that finds out when lost links to backend servers work again."""

from collections.abc import Callable
from random import Random
from typing import Final

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.load_probing import LoadProber

# Interval between health checks of a service whose links are lost, and the time
# after which requests that wait for one of its servers are given up.
CHECK_INTERVAL_S: Final = 0.25
# Servers checked each time; one of them may have ended.
CHECKED_SERVERS: Final = 2


class LinkController:
    """Checks servers of the services whose links are lost.

    :param board: the links and the servers.
    :param prober: checks the servers; their responses end the loss.
    :param give_up_attempts: gives up the attempts at a service that may be
        repeated at another entry.
    :param random: draws the servers to check.
    """

    def __init__(
        self,
        board: EntryBoard,
        prober: LoadProber,
        give_up_attempts: Callable[[str], None],
        random: Random,
    ) -> None:
        self._board = board
        self._prober = prober
        self._give_up_attempts = give_up_attempts
        self._random = random

    async def run(self) -> None:
        """Check services whose links are lost, until cancelled."""
        while True:
            await self._board.has_lost_links.wait()
            self._board.has_lost_links = anyio.Event()
            while self._board.server_links.lost_services:
                await self._check_services()

    async def _check_services(self) -> None:
        links = self._board.server_links
        services = tuple(links.lost_services)
        for service in services:
            self._check(service)
        await anyio.sleep(CHECK_INTERVAL_S)
        # Timers of a process that was suspended expire before it reads the
        # responses, so attempts are given up only if the links stay lost.
        for service in filter(links.is_lost, services):
            self._give_up_attempts(service)

    def _check(self, service: str) -> None:
        now = self._board.clock()
        servers = self._board.list_servers(service, now)
        if not servers:
            self._board.server_links.forget(service)
        checked = [
            server
            for server in servers
            if not self._board.is_paused(server, now)
        ]
        count = min(CHECKED_SERVERS, len(checked))
        for server in self._random.sample(checked, count):
            self._prober.start(server)
