"""Tenants of a configuration, found by the digests of their API keys."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

KEY_DIGEST_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer's account with API keys of its own.

    :param name: name of the tenant, as servers see it.
    :param priority: priority of its requests, which replaces that of the
        route; ``None`` to keep the route's.
    :param rate_per_s: requests per second that all entries together accept; 0
        for no limit.
    :param burst: requests that it may send beyond that rate at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantKeys:
    """A tenant and the API keys that it holds.

    :param tenant: the tenant.
    :param key_digests: digests of its keys.
    """

    tenant: Tenant
    key_digests: tuple[bytes, ...]


def digest_key(key: bytes) -> bytes:
    """Return the digest under which an API key is known.

    Keys are not stored, so that they cannot appear in logs or crash reports.

    :param key: the key as a caller sends it.
    """
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


class TenantTable:
    """The tenants of one configuration.

    :param tenants: each tenant with the digests of its keys. A key that is
        listed twice belongs to the first tenant.
    """

    def __init__(self, tenants: Iterable[TenantKeys] = ()) -> None:
        tenants_by_name: dict[str, Tenant] = {}
        tenants_by_digest: dict[bytes, Tenant] = {}
        for item in tenants:
            tenant = item.tenant
            tenants_by_name.setdefault(tenant.name, tenant)
            for digest in item.key_digests:
                tenants_by_digest.setdefault(digest, tenant)
        self.tenants_by_name = tenants_by_name
        self._tenants_by_digest = tenants_by_digest

    @property
    def is_empty(self) -> bool:
        """Return whether the configuration has no tenants."""
        return not self.tenants_by_name

    def find(self, digest: bytes) -> Tenant | None:
        """Return the tenant that holds a key.

        :param digest: digest of the key.
        """
        return self._tenants_by_digest.get(digest)
