"""Which tenant has sent a request, and whether the request may still run.

This module has no network, no clock and no tasks: what an entry knows of the
API keys at one moment is passed in.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from copperyard.outcomes import Header, NotRun, RefusalReason
from copperyard.tenants.tenant_table import Tenant, TenantTable, digest_key

# Share of the revocation time for which data counts. The rest is for the way of
# the messages that tell its age, which is some milliseconds for each entry that
# passes them on.
USABLE_AGE_SHARE: Final = 0.95
# An entry accepts keys again within a second of a read of the store.
OUTDATED_RETRY_AFTER_S: Final = 1.0
# A key that has moved to another tenant is accepted at once.
MOVED_RETRY_AFTER_S: Final = 0.02

_SPACE: Final = b' '


@dataclass(frozen=True, slots=True)
class KeyData:
    """What an entry knows of the API keys at one moment.

    :param tenants: the tenants of the configuration in force.
    :param age_s: seconds since the read was sent that the configuration rests
        on.
    :param revocation_s: time after which a removed key must not be accepted
        any more; ``None`` for no such limit.
    """

    tenants: TenantTable
    age_s: float = 0.0
    revocation_s: float | None = None

    @property
    def is_outdated(self) -> bool:
        """Return whether a key may have been removed too long ago."""
        return (
            self.revocation_s is not None
            and self.age_s >= USABLE_AGE_SHARE * self.revocation_s
        )


@dataclass(frozen=True, slots=True)
class Sender:
    """Who has sent a request.

    :param tenant: the tenant; ``None`` where requests need no API key.
    :param key_digest: digest of the key; empty without a tenant.
    """

    tenant: Tenant | None = None
    key_digest: bytes = b''


@dataclass(frozen=True, slots=True)
class KeyHeaders:
    """Names of the headers that API keys and tenants appear in.

    :param credentials: header with the scheme and the key.
    :param scheme: the scheme in lower case.
    :param tenant: header that tells servers the name of the tenant.
    """

    credentials: bytes
    scheme: bytes
    tenant: bytes

    def find_key(self, headers: Iterable[Header]) -> bytes | None:
        """Return the API key of a request.

        :param headers: headers of the request, names in lower case.
        :returns: the key; ``None`` without one, or with more than one header
            that could have it.
        """
        values = [text for name, text in headers if name == self.credentials]
        if len(values) != 1:
            return None
        scheme, _, key = values[0].partition(_SPACE)
        return key.strip(_SPACE) if scheme.lower() == self.scheme else None

    def strip(self, headers: Iterable[Header]) -> tuple[Header, ...]:
        """Return headers without those that only entries read or set.

        Some servers take an underscore in a name for a hyphen.

        :param headers: headers of a request, names in lower case.
        """
        return tuple(pair for pair in headers if not self._is_own(pair[0]))

    def has_any(self, headers: Iterable[Header]) -> bool:
        """Return whether any of these headers is present.

        :param headers: headers of a request, names in lower case.
        """
        return any(self._is_own(name) for name, _ in headers)

    def write(
        self, headers: Iterable[Header], tenant: Tenant | None
    ) -> tuple[Header, ...]:
        """Return the headers for a server.

        :param headers: headers of the request.
        :param tenant: the tenant that has sent it, if any.
        """
        stripped = self.strip(headers)
        if tenant is None:
            return stripped
        return (*stripped, (self.tenant, tenant.name.encode()))

    def _is_own(self, name: bytes) -> bool:
        return (
            name == self.credentials or name.replace(b'_', b'-') == self.tenant
        )


def authenticate(data: KeyData, key: bytes | None) -> Sender | NotRun:
    """Decide who has sent a request of a route that is not public.

    Outdated data may lack a key that exists, so nobody is called unknown by it.

    :param data: what this entry knows, with at least one tenant.
    :param key: key of the request, if it has one.
    """
    if data.is_outdated:
        return _refuse_outdated(data)
    digest = b'' if key is None else digest_key(key)
    tenant = data.tenants.find(digest)
    if tenant is None:
        return NotRun(RefusalReason.UNAUTHENTICATED)
    return Sender(tenant, digest)


def identify_forwarded(data: KeyData, digest: bytes) -> Sender | NotRun:
    """Decide who has sent a request that another entry has forwarded.

    :param data: what this entry knows.
    :param digest: digest of the key that the other entry has found valid.
    """
    if data.is_outdated:
        return _refuse_outdated(data)
    if data.tenants.is_empty:
        # The other entry knows another configuration.
        return NotRun(
            RefusalReason.KEYS_OUTDATED,
            MOVED_RETRY_AFTER_S,
            'no tenants are known here',
        )
    tenant = data.tenants.find(digest)
    if tenant is None:
        return NotRun(RefusalReason.UNAUTHENTICATED)
    return Sender(tenant, digest)


def find_refusal(data: KeyData, sender: Sender) -> NotRun | None:
    """Return why a request must not be sent to a server any more, or ``None``.

    :param data: what this entry knows now.
    :param sender: who had sent the request when it arrived.
    """
    if sender.tenant is None:
        return None
    if data.is_outdated:
        return _refuse_outdated(data)
    tenant = data.tenants.find(sender.key_digest)
    if tenant is not None and tenant.name == sender.tenant.name:
        return None
    if tenant is None and not data.tenants.is_empty:
        return NotRun(RefusalReason.UNAUTHENTICATED, detail='key was removed')
    return NotRun(
        RefusalReason.KEYS_OUTDATED,
        MOVED_RETRY_AFTER_S,
        'key belongs to another tenant now',
    )


def _refuse_outdated(data: KeyData) -> NotRun:
    return NotRun(
        RefusalReason.KEYS_OUTDATED,
        OUTDATED_RETRY_AFTER_S,
        f'keys are as of {data.age_s:.1f} s ago',
    )
