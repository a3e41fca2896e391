"""Builders and stand-ins shared by several tests."""

from dataclasses import dataclass

from returns.result import Failure

from copperyard.agent import create_board
from copperyard.blackboard import AgentBoard
from copperyard.clock import seconds_since_boot
from copperyard.log_client import AppendUnconfirmed, Batch, LogEntry
from copperyard.records import DeclareService, Member, Record, encode_record
from copperyard.settings import AgentSettings
from copperyard.vm_list import Vm, VmState


@dataclass(frozen=True)
class Fault:
    """A fault injected into the simulated cell for some ticks.

    Kinds: ``kill`` and ``leave`` (permanent), ``join`` (adds a VM), ``pause``
    (of a VM), ``freeze`` (of an agent only), ``cut_log`` and ``cut_peers``
    (of one member), ``cold`` (of a server), ``split_log`` and ``split_peers``
    (of all members with an index below the target; the latter separates them
    from the other members).
    """

    kind: str
    target: int
    at: int
    ticks: int = 10**6

    def is_active(self, kind: str, tick: int) -> bool:
        return self.kind == kind and self.at <= tick < self.at + self.ticks


def make_member(index: int, incarnation: int = 1) -> Member:
    empty_fields = dict.fromkeys(
        ('region', 'caller_address', 'agent_address'), ''
    )
    return Member(
        entry_id=f'entry-{index}',
        incarnation=incarnation,
        cell='main',
        failure_domain='fd',
        proxy_address='',
        **empty_fields,
    )


def make_vm(
    vm_id: str,
    service: str | None = None,
    domain: str = 'fd',
    state: VmState = VmState.LIVE,
) -> Vm:
    return Vm(
        vm_id=vm_id,
        failure_domain=domain,
        state=state,
        service=service,
    )


def make_service(name: str, slots: int) -> DeclareService:
    return DeclareService(
        name=name,
        failure_domains=('fd',),
        slots=slots,
        connections=slots,
    )


def make_agent_board(entry_id: str = 'e1') -> AgentBoard:
    addresses = (
        'caller_address',
        'proxy_address',
        'agent_address',
        'operator_address',
    )
    return create_board(
        AgentSettings(
            entry_id=entry_id,
            region='r',
            failure_domain='fd',
            log_url='',
            vm_list_url='',
            **dict.fromkeys(addresses, '127.0.0.1:1'),
        ),
    )


def apply_records(board: AgentBoard, stream: str, *records: Record) -> None:
    """Apply records to a board as if it had read the stream to its end."""
    follower = board.follower(stream)
    started = seconds_since_boot()
    request = follower.begin_read()
    entries = tuple(
        LogEntry(offset=follower.end + index, body=encode_record(record))
        for index, record in enumerate(records)
    )
    end = follower.end + len(entries)
    follower.apply_batch(request, Batch(first=0, end=end, records=entries))
    board.read_at_by_stream[stream] = started
    board.handle_new_records(started)


class LostAnswersLogClient:
    """A log client whose answers to appends are all lost.

    The test decides whether an append takes effect, by applying the record or
    not.

    :ivar appended_kinds: kinds of the records passed to ``append``.
    """

    def __init__(self) -> None:
        self.appended_kinds: list[str] = []

    async def append(self, _stream: str, body: dict[str, str]) -> Failure:
        self.appended_kinds.append(body['kind'])
        return Failure(AppendUnconfirmed('lost'))
