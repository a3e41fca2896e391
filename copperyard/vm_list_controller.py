"""Polls the platform's VM list."""

from typing import Final

import anyio
from returns.result import Failure, Success

from copperyard.blackboard import AgentBoard
from copperyard.grants import find_server_domains
from copperyard.logs import log_event
from copperyard.vm_list import Vm, update_vm_table
from copperyard.vm_list_client import VmListClient

POLL_INTERVAL_S: Final = 0.5


async def follow_vm_list(board: AgentBoard, client: VmListClient) -> None:
    """Poll the VM list until cancelled.

    The last list stays in use when a read fails.

    :param board: state of the agent, which is updated.
    :param client: client of the VM list.
    """
    previous_vms: tuple[Vm, ...] | None = None
    while True:
        match await client.read():
            case Success(vms) if vms is not previous_vms:
                previous_vms = vms
                table = update_vm_table(board.vm_table, vms)
                if table != board.vm_table:
                    board.vm_table = table
                    board.handover.set_servers(
                        find_server_domains(table.vms_by_id.values()),
                    )
                    board.changed.fire()
            case Failure(error):
                board.metrics.count('vm_list.read_failed')
                log_event('vm_list_read_failed', detail=error.detail)
        await anyio.sleep(POLL_INTERVAL_S)
