"""Checks the API keys of requests against the configuration in force."""

from dataclasses import replace
from functools import partial
from typing import Final, TypeAlias
from weakref import ReferenceType, ref

import anyio

from copperyard.entry_board import EntryBoard
from copperyard.logs import log_event
from copperyard.outcomes import Header, NotRun, RefusalReason
from copperyard.platform import AUTHORIZATION, KEY_SCHEME, TENANT
from copperyard.request_states import RequestState
from copperyard.routes import Route
from copperyard.store_replica import StoreReplica
from copperyard.tenants.key_decisions import (
    MOVED_RETRY_AFTER_S,
    OUTDATED_RETRY_AFTER_S,
    KeyData,
    KeyHeaders,
    Sender,
    authenticate,
    find_refusal,
    identify_forwarded,
)
from copperyard.tenants.tenant_table import TenantTable

# Interval between checks whether keys are refused because of the age of the
# configuration data; they matter for logs only.
AGE_CHECK_INTERVAL_S: Final = 0.25

KEY_HEADERS: Final = KeyHeaders(AUTHORIZATION, KEY_SCHEME, TENANT)
# A request that its own check refers to would stay in memory with its body
# until the next run of the garbage collector.
StateReference: TypeAlias = ReferenceType[RequestState]
_NO_TENANTS: Final = TenantTable()


class KeyChecker:
    """Checks the API keys of requests when they arrive and at each send.

    :param board: its configuration has the keys.
    :param replica: tells how old the configuration data is.
    """

    def __init__(self, board: EntryBoard, replica: StoreReplica) -> None:
        self._board = board
        self._replica = replica
        self._is_outdated = False

    def authenticate(
        self, headers: tuple[Header, ...], route: Route
    ) -> Sender | NotRun:
        """Decide who has sent a caller's request.

        :param headers: headers of the request, names in lower case.
        :param route: its route.
        :returns: the sender, which is nobody if the request needs no key.
        """
        if self._find_tenants().is_empty or route.is_public:
            return Sender()
        return authenticate(self._find_data(), KEY_HEADERS.find_key(headers))

    def identify_forwarded(
        self, headers: tuple[Header, ...], digest: bytes
    ) -> Sender | NotRun:
        """Decide who has sent a request that another entry has forwarded.

        :param headers: headers of the request, names in lower case.
        :param digest: digest of its key; empty if it needs none.
        """
        if digest:
            return identify_forwarded(self._find_data(), digest)
        if self._find_tenants().is_empty or all(
            name != AUTHORIZATION for name, _ in headers
        ):
            return Sender()
        # Entries that know of tenants never forward this header.
        return NotRun(
            RefusalReason.KEYS_OUTDATED,
            OUTDATED_RETRY_AFTER_S,
            'the forwarding entry knows no tenants',
        )

    def write_headers(
        self, headers: tuple[Header, ...], sender: Sender
    ) -> tuple[Header, ...]:
        """Return the headers for a server: without a key, with the tenant.

        :param headers: headers of the request.
        :param sender: who has sent it.
        """
        if sender.tenant is None and self._find_tenants().is_empty:
            return headers
        return KEY_HEADERS.write(headers, sender.tenant)

    def guard(self, state: RequestState, sender: Sender) -> None:
        """Let a request run only while its sender's key is valid.

        :param state: the request, before its first attempt.
        :param sender: who has sent it.
        """
        if sender.tenant is None:
            if KEY_HEADERS.has_any(state.request.headers):
                state.may_run = partial(self._may_run_unchanged, ref(state))
            return
        state.tenant = sender.tenant
        state.key_digest = sender.key_digest
        if sender.tenant.priority is not None:
            state.route = replace(state.route, priority=sender.tenant.priority)
        state.may_run = partial(self._may_run, ref(state), sender)

    async def run(self) -> None:
        """Log when keys begin and cease to be refused for their age."""
        while True:
            if not self._find_tenants().is_empty:
                self._find_data()
            await anyio.sleep(AGE_CHECK_INTERVAL_S)

    def _may_run(self, find_state: StateReference, sender: Sender) -> bool:
        return _accept(find_state, find_refusal(self._find_data(), sender))

    def _may_run_unchanged(self, find_state: StateReference) -> bool:
        """Return whether the caller's headers may still reach servers."""
        if self._find_tenants().is_empty:
            return True
        return _accept(
            find_state,
            NotRun(
                RefusalReason.KEYS_OUTDATED,
                MOVED_RETRY_AFTER_S,
                'arrived before there were tenants',
            ),
        )

    def _find_tenants(self) -> TenantTable:
        routes = self._board.routes
        return _NO_TENANTS if routes is None else routes.tenants

    def _find_data(self) -> KeyData:
        board = self._board
        data = KeyData(
            self._find_tenants(),
            board.clock() - self._replica.operator_read_at,
            board.settings.bounds.revocation_s,
        )
        if data.is_outdated != self._is_outdated:
            self._is_outdated = data.is_outdated
            log_event(
                'keys_outdated' if data.is_outdated else 'keys_recent',
                # Infinite before the first read.
                age_s=round(min(data.age_s, board.clock()), 1),
                configuration=0
                if board.routes is None
                else board.routes.version,
            )
        return data


def _accept(find_state: StateReference, refusal: NotRun | None) -> bool:
    """Return whether a request may run; deny it otherwise."""
    state = find_state()
    if state is not None and refusal is not None:
        state.deny(refusal)
    return refusal is None
