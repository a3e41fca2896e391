"""A process with the stand-ins of the store and of nine backend servers.

Prints the address of the store, then the number of runs every second.

Usage: platform_2.py ANSWER_BYTES
"""

import asyncio
import sys

from crowd_2 import LargeAnswerServer
from harness_2 import configure, run_platform

SERVERS = 9
ROUTE_TIMEOUT_S = 1.5
# Limits of the site's configuration.
CLIENT_LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 67108864,
    'header-timeout-s': 3,
    'idle-timeout-s': 15,
}
# The process ends by itself if nobody ends it.
LIFETIME_S = 150


async def main(answer_bytes):
    servers = [LargeAnswerServer(f's{n}', answer_bytes) for n in range(SERVERS)]
    async with run_platform(*servers) as platform:
        configure(platform, route_timeout_s=ROUTE_TIMEOUT_S, **CLIENT_LIMITS)
        print(platform.store_address, flush=True)
        for _ in range(LIFETIME_S):
            await asyncio.sleep(1)
            print(
                sum(len(it.executed_request_ids) for it in servers), flush=True
            )


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1])))
