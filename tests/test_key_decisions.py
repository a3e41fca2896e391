"""Decisions about API keys, without network and clock."""

from random import Random

import pytest

from copperyard.outcomes import NotRun, RefusalReason
from copperyard.tenants.key_checker import KEY_HEADERS
from copperyard.tenants.key_decisions import (
    MOVED_RETRY_AFTER_S,
    OUTDATED_RETRY_AFTER_S,
    USABLE_AGE_SHARE,
    KeyData,
    Sender,
    authenticate,
    find_refusal,
    identify_forwarded,
)
from copperyard.tenants.tenant_table import (
    Tenant,
    TenantKeys,
    TenantTable,
    digest_key,
)

REVOCATION_S = 5.0
OUTDATED_S = USABLE_AGE_SHARE * REVOCATION_S


def build_table(**keys_by_name):
    """Build a table of tenants and their keys."""
    return TenantTable(
        TenantKeys(Tenant(name), tuple(map(digest_key, keys)))
        for name, keys in keys_by_name.items()
    )


def build_data(age_s=0.0, revocation_s=REVOCATION_S, **keys_by_name):
    """Build what an entry knows; by default one key of one tenant."""
    table = build_table(**(keys_by_name or {'one': [b'k1']}))
    return KeyData(table, age_s, revocation_s)


def get_reason(outcome):
    """Return why a request is refused, None if it is not."""
    return outcome.reason if isinstance(outcome, NotRun) else None


SENDER = authenticate(build_data(), b'k1')


@pytest.mark.parametrize('key', [None, b'', b'k2', b'K1', b'k1 ', b'Token k1'])
def test_missing_or_unknown_key_is_unauthenticated(key):
    """Guards against requests that run without a valid key."""
    refusal = authenticate(build_data(), key)
    assert refusal == NotRun(RefusalReason.UNAUTHENTICATED)


@pytest.mark.parametrize('key', [None, b'k1', b'k2'])
def test_outdated_data_decides_about_no_key(key):
    """Guards against 401 for a key that was added while the entry was cut off.

    A key that was removed meanwhile must not be accepted either.
    """
    refusal = authenticate(build_data(OUTDATED_S), key)
    assert refusal.reason is RefusalReason.KEYS_OUTDATED
    assert refusal.retry_after_s == OUTDATED_RETRY_AFTER_S


def test_age_bounds_a_key_below_the_revocation_time_only():
    """Guards against a removed key that runs, or a valid one that is refused.

    An entry without a path to the store for 0.6 of the time still has to serve.
    """
    assert OUTDATED_S > 0.6 * REVOCATION_S + 1
    assert OUTDATED_S < REVOCATION_S
    assert authenticate(build_data(OUTDATED_S - 0.01), b'k1') == SENDER
    never_read = build_data(float('inf'))
    assert get_reason(authenticate(never_read, b'k1'))
    unbounded = build_data(float('inf'), revocation_s=None)
    assert authenticate(unbounded, b'k1') == SENDER


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (build_data(), None),
        (build_data(one=[b'k2', b'k1'], two=[b'k1']), None),
        (build_data(OUTDATED_S), RefusalReason.KEYS_OUTDATED),
        (build_data(one=[b'k2']), RefusalReason.UNAUTHENTICATED),
        (build_data(one=[], two=[b'k2']), RefusalReason.UNAUTHENTICATED),
        (build_data(two=[b'k1']), RefusalReason.KEYS_OUTDATED),
        (build_data(two=[b'k1'], one=[b'k1']), RefusalReason.KEYS_OUTDATED),
        (KeyData(TenantTable()), RefusalReason.KEYS_OUTDATED),
    ],
    ids=[
        'same',
        'key added',
        'outdated',
        'key removed',
        'all keys removed',
        'key moved',
        'key taken over',
        'no tenants left',
    ],
)
def test_request_that_waits_is_checked_again(data, reason):
    """Guards against a server that sees a former holder of a key.

    Only a removed key is unknown; 401 for a key that exists would be wrong.
    """
    refusal = find_refusal(data, SENDER)
    assert get_reason(refusal) is reason
    if reason is RefusalReason.KEYS_OUTDATED:
        assert refusal.retry_after_s >= MOVED_RETRY_AFTER_S
    assert find_refusal(data, Sender()) is None


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (build_data(), None),
        (build_data(OUTDATED_S), RefusalReason.KEYS_OUTDATED),
        (build_data(one=[]), RefusalReason.UNAUTHENTICATED),
        (KeyData(TenantTable()), RefusalReason.KEYS_OUTDATED),
    ],
)
def test_forwarded_request_is_checked_by_the_second_entry(data, reason):
    """Guards against a removed key that runs through another entry."""
    digest = SENDER.key_digest
    assert get_reason(identify_forwarded(data, digest)) is reason


@pytest.mark.parametrize('tenant_count', [79, 10_000])
def test_every_key_finds_its_first_holder(tenant_count):
    """Guards against a key that is taken for another tenant's.

    Keys that two tenants list belong to the first one.
    """
    random = Random(tenant_count)
    keys_by_name = {
        f't{number}': [b'key-%d' % number, b'shared-%d' % (number // 2)]
        for number in range(tenant_count)
    }
    data = build_data(**keys_by_name)
    for number in random.sample(range(tenant_count), 60):
        name = authenticate(data, b'key-%d' % number).tenant.name
        assert name == f't{number}'
        first = authenticate(data, b'shared-%d' % (number // 2)).tenant.name
        assert first == f't{number - number % 2}'


@pytest.mark.parametrize(
    ('values', 'key'),
    [
        ([b'Token k1'], b'k1'),
        ([b'token  k1'], b'k1'),
        ([b'TOKEN k1'], b'k1'),
        ([b'Token'], b''),
        ([b'Bearer k1'], None),
        ([b'k1'], None),
        ([b'Token k1', b'Token k1'], None),
        ([], None),
    ],
)
def test_key_is_read_from_one_header_of_its_scheme(values, key):
    """Guards against a key that is read where callers did not mean one."""
    headers = [(b'authorization', value) for value in values]
    assert KEY_HEADERS.find_key(headers) == key


def test_servers_get_the_tenant_once_and_no_key():
    """Guards against a caller that names its tenant itself."""
    headers = (
        (b'x-tenant', b'two'),
        (b'accept', b'a'),
        (b'x_tenant', b'two'),
        (b'authorization', b'Token k1'),
        (b'x-tenant', b''),
    )
    accepted = (b'accept', b'a')
    assert KEY_HEADERS.write(headers, None) == (accepted,)
    written = KEY_HEADERS.write(headers, SENDER.tenant)
    assert written == (accepted, (b'x-tenant', b'one'))
    assert KEY_HEADERS.has_any(headers)
    assert not KEY_HEADERS.has_any((accepted,))
