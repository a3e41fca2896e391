"""Decoding of the platform's records, headers and settings, and its store."""

import json
from base64 import b64encode

import anyio
import hypothesis
import pytest
from hypothesis import HealthCheck, given
from hypothesis import strategies as st
from returns.result import Failure, Success

from copperyard.clients.client_limits import ClientLimits
from copperyard.clock import seconds_since_boot
from copperyard.entry_messages import (
    ServerUpdate,
    decode_datagram,
    encode_message,
)
from copperyard.exchanges import BackendPool
from copperyard.header_values import read_load
from copperyard.metadata_store import (
    ConfigurationChange,
    DomainChange,
    OperatorRecord,
    RecordsDeleted,
    ServerBatch,
    StoreUnavailable,
    UnreadableRecord,
)
from copperyard.metrics import Metrics
from copperyard.outcomes import Answered
from copperyard.platform.headers import STORE_ERA, read_cold_left_s
from copperyard.platform.lookups import (
    LOOKUP_PATH,
    encode_lookup,
    read_caller_domain,
)
from copperyard.platform.operator_records import decode_configuration
from copperyard.platform.server_registrations import (
    decode_server_registration,
    is_invalid,
)
from copperyard.platform.settings import decode_settings, load_entry_settings
from copperyard.platform.store import PlatformStore
from copperyard.processing_times import ProcessingTime
from copperyard.server_loads import LoadSample
from copperyard.server_table import ServerGone, ServerReport
from copperyard.turns import ITEMS_PER_TURN
from tests.standins.platform import (
    PlatformServerStandIn,
    build_configuration,
    run_platform,
)

pytestmark = pytest.mark.timeout(20)

SERVER_ENTRY = {
    'address': '10.0.0.9:8080',
    'info': {
        'service': 'ledger',
        'config-version': 'v1',
        'zone': 'a',
        'capacity': 4,
    },
    'status': {'state': 'ready', 'sequence': 4, 'warmup-left-s': 1.5},
    'born': 1700000000000,
}
SETTINGS = {
    'node-name': 'edge-a-1',
    'ip': '10.0.0.1',
    'zone': 'a',
    'internal-port-range': [7720, 7735],
    'seeds': ['10.0.0.1:8166', '10.0.0.2:8166'],
    'listen': {
        'edge-address': '10.0.0.1:8161',
        'readiness': '10.0.0.1:8167',
        'registry': '10.0.0.1:8164',
    },
    'limits': {'max-fds': 4100},
    'bounds': {
        'grace-s': 6,
        'retry-budget-ratio': 0.2,
        'budget-slack': 58,
        'budget-window-s': 10,
        'warmup-overage': 1.5,
        'warmup-slack': 5,
        'ttl_max_s': 5,
    },
    'platform': {'address': '10.0.0.200:8169'},
    'unknown-field': {'x': 1},
}


json_values = st.sampled_from([-1, 2**63, 2**64, 10**400]) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)
json_fields = st.dictionaries(
    st.sampled_from(
        [
            'address',
            'info.service',
            'info.zone',
            'info.capacity',
            'status.state',
            'status.sequence',
            'status.warmup-left-s',
            'born',
        ]
    ),
    json_values,
    max_size=1,
)


def encode_server_registration(changes):
    """Encode a server's entry with some fields changed, or removed by None."""
    entry = json.loads(json.dumps(SERVER_ENTRY))
    for path, value in changes.items():
        *parents, name = path.split('.')
        table = entry
        for parent in parents:
            table = table[parent]
        if value is None:
            table.pop(name)
        else:
            table[name] = value
    return json.dumps(entry).encode()


def test_server_registration_is_decoded():
    """Guards against fields that are mixed up, such as start and sequence."""
    assert decode_server_registration(
        's1', encode_server_registration({}), 7
    ) == ServerReport(
        server_id='s1',
        service='ledger',
        address='10.0.0.9:8080',
        failure_domain='a',
        slots=4,
        is_draining=False,
        cold_left_s=1.5,
        started_ms=1700000000000,
        sequence=4,
        offset=7,
        version='v1',
    )
    assert decode_server_registration('s1', b'', 7) == ServerGone('s1', 7)
    assert not is_invalid('s1', b'')


@pytest.mark.parametrize(
    'value',
    [
        b'\xff\xfe',
        b'null',
        b'[]',
        encode_server_registration({'info': None}),
        encode_server_registration({'address': None}),
        encode_server_registration({'address': 'elsewhere'}),
        encode_server_registration({'address': 17}),
        encode_server_registration({'info.capacity': 'four'}),
        encode_server_registration({'info.capacity': 0}),
        encode_server_registration({'status.state': 'melting'}),
        encode_server_registration({'status.sequence': '4'}),
        encode_server_registration({'status.sequence': -1}),
        encode_server_registration({'status.warmup-left-s': 'soon'}),
        encode_server_registration({'born': 'today'}),
        b'{"x":' * 100_000,
        b'{"address":"\\ud800"}',
        encode_server_registration({'address': f'10.0.0.9:{"9" * 5000}'}),
        encode_server_registration({'address': '10.0.0.9:\u00b2'}),
        encode_server_registration({'address': 'fe80::1%\0:80'}),
        encode_server_registration({'address': f'{"[" * 70_000}::1]:80'}),
        encode_server_registration({'address': ']::1[:80'}),
        encode_server_registration({'address': '10.0.0.9:99999'}),
        encode_server_registration({'info.capacity': 10**18}),
        encode_server_registration({'info.service': 'x' * 5000}),
        encode_server_registration({'status.sequence': 10**30}),
        encode_server_registration({'status.warmup-left-s': 1e300}),
        encode_server_registration({'status.warmup-left-s': float('nan')}),
        encode_server_registration({'born': 10**400}),
        encode_server_registration({'born': -1}),
    ],
)
def test_invalid_server_registration_counts_as_removed(value):
    """Guards against requests to an address taken from an invalid entry.

    Other programs write these entries; some are incomplete or malformed.
    """
    assert isinstance(decode_server_registration('s1', value, 1), ServerGone)
    assert is_invalid('s1', value)


@pytest.mark.parametrize('key', ['', 's 1', 's\r\nx: y', 's\xe9', 's' * 300])
def test_server_id_that_no_header_can_carry_is_invalid(key):
    """Guards against ids that end a request, or add headers to it."""
    value = encode_server_registration({})
    assert decode_server_registration(key, value, 1) == ServerGone(key, 1)
    assert is_invalid(key, value)


@hypothesis.settings(derandomize=True, deadline=None)
@given(json_fields)
def test_registration_with_any_fields_is_decoded_or_invalid(fields):
    """Guards against a registration that ends the reading of all others.

    What is decoded must fit into the messages between entries.
    """
    value = encode_server_registration(fields)
    change = decode_server_registration('s1', value, 1)
    update = ServerUpdate(0, 2, 0.0, (change,))
    assert decode_datagram(encode_message(update)) == update


def test_configuration_is_decoded():
    """Guards against fields of routes, services or limits that are mixed up."""
    value = json.dumps(build_configuration(version=12)).encode()
    table = decode_configuration(value)
    assert table.version == 12
    route = table.find('h.example', '/write/x')
    assert not route.is_idempotent
    assert route.timeout_s == 1
    assert route.max_attempts == 2
    assert table.find('h.example', '/v12/x').is_idempotent
    assert table.limits.head_bytes == 2048
    assert table.services_by_name['ledger'].cold_requests_per_s == 15.0


def test_traffic_split_is_decoded():
    """Guards against a traffic split whose services or weights get lost."""
    content = build_configuration()
    spec = content['resources'][0]['spec']
    spec.pop('service')
    spec['traffic-split'] = [
        {'service': 'x', 'weight': 90},
        {'service': 'y', 'weight': 10},
    ]
    table = decode_configuration(json.dumps(content).encode())
    parts = table.find('h.example', '/read/').parts
    assert [(part.service, part.weight) for part in parts] == [
        ('x', 90),
        ('y', 10),
    ]


def encode_changed_configuration(index, changes):
    """Encode a configuration with changed fields of one resource."""
    content = build_configuration()
    content['resources'][index]['spec'].update(changes)
    return json.dumps(content).encode()


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{}',
        b'{"config-version":"zz"}',
        b'{"config-version":"-1","resources":[]}',
        b'{"config-version":"%s","resources":[]}' % (b'f' * 5000),
        b'{"config-version":"00000001","resources":%s' % (b'[' * 100_000),
        b'{"config-version":"00000001","resources":[{"resource-kind":"routes",'
        b'"spec":%s%s}]}' % (b'[' * 100_000, b']' * 100_000),
        encode_changed_configuration(0, {'timeout-s': float('nan')}),
        encode_changed_configuration(0, {'timeout-s': -1}),
        encode_changed_configuration(0, {'target-latency-s': 0}),
        encode_changed_configuration(0, {'max-attempts': -(10**400)}),
        encode_changed_configuration(
            0, {'traffic-split': [{'service': 'x', 'weight': 0}] * 2}
        ),
        encode_changed_configuration(3, {'health-path': '/x\r\ny: z\n'}),
        encode_changed_configuration(3, {'health-path': '/\xe9'}),
        encode_changed_configuration(3, {'warmup-per-s': 1e300}),
        encode_changed_configuration(3, {'max-connections': 10**30}),
        encode_changed_configuration(4, {'idle-timeout-s': 1e300}),
    ],
)
def test_invalid_configuration_is_none(value):
    """Guards against an exception, or empty routes, from an invalid record."""
    assert decode_configuration(value) is None


@hypothesis.settings(derandomize=True, deadline=None)
@given(
    st.integers(0, 4),
    st.sampled_from(
        [
            'host',
            'path-prefix',
            'type',
            'timeout-s',
            'target-latency-s',
            'priority',
            'max-attempts',
            'traffic-split',
            'health-path',
            'max-connections',
            'warmup-per-s',
            'max-header-bytes',
        ]
    ),
    json_values,
)
def test_configuration_with_any_field_is_usable_or_invalid(index, name, value):
    """Guards against a configuration that fails only when it is used."""
    content = encode_changed_configuration(index, {name: value})
    table = decode_configuration(content)
    if table is not None:
        for route in table.list_routes():
            route.choose_service('q1')
            ProcessingTime(route.target_latency_s).find_slowness_max(1.0)
        for service in table.services_by_name.values():
            service.health_path.encode('ascii')


def test_operator_records_are_decoded_by_name():
    """Guards against records that are taken for another kind.

    Unknown and invalid records are reported as unreadable.
    """
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    value = json.dumps(build_configuration()).encode()
    decoded = [
        store.decode_operator_record(OperatorRecord(name, content, 1))
        for name, content in (
            ('config', value),
            ('evacuate/a', b'{}'),
            ('evacuate/a', b''),
            ('config', b'??'),
            ('other', b'{}'),
            ('evacuate/\ufffd', b'{}'),
        )
    ]
    assert isinstance(decoded[0], ConfigurationChange)
    assert decoded[1:3] == [
        DomainChange('a', is_out=True),
        DomainChange('a', is_out=False),
    ]
    assert all(isinstance(change, UnreadableRecord) for change in decoded[3:])


@pytest.mark.parametrize(
    ('text', 'sample'),
    [
        ('3,1,4,250', LoadSample(4, 4, 2.5)),
        ('3,0,8', LoadSample(3, 8, 1.0)),
        ('', None),
        ('3,x,4', None),
        ('3,1', None),
    ],
)
def test_load_report_is_decoded(text, sample):
    """Guards against misread reports; invalid ones are ignored.

    A report has running, waiting, slots and optionally the slowness.
    """
    assert read_load(text) == sample


def test_cold_time_is_decoded_in_seconds():
    """Guards against confused units: the header is in milliseconds.

    An invalid header is told from a missing one, that of a warm server.
    """
    assert read_cold_left_s(((b'x-warmup-ms', b'1500'),)) == 1.5
    assert read_cold_left_s(()) == 0.0
    assert read_cold_left_s(((b'x-warmup-ms', b'?'),)) is None


def test_settings_are_decoded():
    """Guards against mixed-up addresses, and errors from unknown fields."""
    settings = decode_settings(SETTINGS).unwrap()
    assert settings.caller_address == '10.0.0.1:8161'
    assert settings.entry_port == 7720
    assert settings.seed_ips == ('10.0.0.1', '10.0.0.2')
    assert settings.bounds.retry_slack == 58.0


def test_limits_on_clients_are_decoded():
    """Guards against settings of clients that have no effect."""
    assert decode_settings(SETTINGS).unwrap().clients == ClientLimits()
    clients = {'min-bytes-per-s': 500, 'parsed-events-max': 8}
    settings = decode_settings({**SETTINGS, 'clients': clients}).unwrap()
    assert settings.clients == ClientLimits(
        min_bytes_per_s=500, parsed_events_max=8
    )


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('clients', {'connections-share': 1.5}),
        ('node-name', 5),
        ('listen', {}),
        ('platform', {'address': 'nowhere'}),
        ('bounds', {}),
        ('internal-port-range', 'x'),
        ('internal-port-range', []),
        ('seeds', None),
        ('ip', 'here'),
        ('ip', '::1'),
        ('platform', {'address': '10.0.0.200:99999'}),
        ('platform', {'address': '10.0.0.200:\u00b2'}),
        ('platform', {'address': f'10.0.0.200:{"9" * 5000}'}),
        ('internal-port-range', [-4, 9]),
        ('internal-port-range', [10**30, 9]),
        ('limits', {'max-fds': -10}),
        ('bounds', {**SETTINGS['bounds'], 'grace-s': float('nan')}),
        ('bounds', {**SETTINGS['bounds'], 'grace-s': float('inf')}),
        ('bounds', {**SETTINGS['bounds'], 'budget-slack': -1}),
        ('bounds', {**SETTINGS['bounds'], 'budget-window-s': 0}),
        ('bounds', {**SETTINGS['bounds'], 'ttl_max_s': 10**400}),
    ],
)
def test_invalid_setting_is_named(path, value):
    """Guards against a start with invalid settings.

    The error names the invalid field.
    """
    failure = decode_settings({**SETTINGS, path: value})
    assert isinstance(failure, Failure)
    assert failure.failure().path.startswith(path)
    assert len(str(failure.failure())) < 300


@pytest.mark.parametrize('seed', ['10.0.0.1:x', '[:x', f'1:{"9" * 5000}'])
def test_invalid_seed_does_not_refuse_the_others(seed):
    """Guards against an entry that cannot start because of one bad seed."""
    raw = {**SETTINGS, 'seeds': [seed, '10.0.0.2:8166']}
    assert '10.0.0.2' in decode_settings(raw).unwrap().seed_ips


def test_unreadable_settings_file_fails(tmp_path):
    """Guards against an exception from a missing file or invalid TOML."""
    assert isinstance(load_entry_settings(tmp_path / 'none'), Failure)
    broken = tmp_path / 'broken.toml'
    for content in (
        b'= 1',
        b'\xff\xfe',
        b'x=' + b'[' * 5000,
        b'x=' + b'9' * 5000,
    ):
        broken.write_bytes(content)
        assert isinstance(load_entry_settings(broken), Failure)


@hypothesis.settings(derandomize=True, deadline=None)
@given(st.sampled_from(sorted(SETTINGS)), json_values)
def test_any_setting_is_accepted_or_refused(name, value):
    """Guards against an exception from a setting of any type."""
    decoded = decode_settings({**SETTINGS, name: value})
    assert isinstance(decoded, Success | Failure)


def test_lookup_is_decoded_and_answered():
    """Guards against changes of the lookup's query and answer."""
    assert read_caller_domain(b'/l?name=h&region=r&zone=a') == 'a'
    assert read_caller_domain(b'/l') == ''
    assert json.loads(encode_lookup(['10.0.0.1:1'], 2.0)) == {
        'addresses': ['10.0.0.1:1'],
        'ttl-s': 2.0,
    }


@hypothesis.settings(derandomize=True, deadline=None)
@given(st.binary())
@hypothesis.example(b'?zone=%ff%ed%a0%80&zone=[')
@hypothesis.example(b'//[::1?zone=a')
def test_any_lookup_is_read(suffix):
    """Guards against a query that ends the connection of the caller."""
    domain = read_caller_domain(LOOKUP_PATH.encode() + suffix)
    assert isinstance(domain, str)


@pytest.mark.anyio
async def test_store_reads_all_servers_then_changes():
    """Guards against changes that are skipped between two reads.

    The first read returns all servers, the next one the records after it.
    """
    server = PlatformServerStandIn('s1')
    async with run_platform(server) as platform:
        with BackendPool(seconds_since_boot) as pool:
            store = PlatformStore(pool, platform.store_address, Metrics())
            full = await store.read_servers(None)
            assert full.is_full
            assert [change.server_id for change in full.changes] == ['s1']
            platform.store.put_server('s1', server.address, sequence=2)
            platform.store.put('keyed.servers', 's2', b'\xff')
            platform.store.delete('keyed.servers', 's1')
            batch = await store.read_servers(full.end)
            assert [change.offset for change in batch.changes] == [1, 2, 3]
            assert batch.damaged_ids == ('s2',)
            assert batch.end == 4
            operator = await store.read_operator_records(None)
            assert operator.end == 1


@pytest.mark.anyio
async def test_deleted_records_and_outage_are_distinguished():
    """Guards against an outage that is taken for deleted records.

    After deleted records everything is read again; after an outage the same
    read is repeated.
    """
    async with run_platform(PlatformServerStandIn('s1')) as platform:
        with BackendPool(seconds_since_boot) as pool:
            store = PlatformStore(pool, platform.store_address, Metrics())
            platform.store.delete_history('keyed.servers')
            assert await store.read_servers(0) == RecordsDeleted()
            platform.store.outage = True
            assert await store.read_servers(0) == StoreUnavailable('status 503')
            assert await store.register_entry('10.0.0.1') is not None


def encode_records(*records):
    """Encode the body of the response to a read."""
    return bytes(16) + b''.join(
        len(record).to_bytes(4) + record for record in records
    )


def build_store(monkeypatch, *bodies, eras=(1,) * 9):
    """Build a store whose calls return the given bodies one after another."""
    store = PlatformStore(BackendPool(), '127.0.0.1:1', Metrics())
    answers = zip(bodies, eras, strict=False)

    async def call(*_):
        body, era = next(answers)
        return Answered(200, ((STORE_ERA, b'%d' % era),), body, '')

    monkeypatch.setattr(store, '_call', call)
    return store


@pytest.mark.anyio
async def test_cut_off_record_is_read_again(monkeypatch):
    """Guards against a server that is lost with the end of a response.

    Its cut off registration is invalid; the next read must begin with it.
    """
    record = b'\x02s1' + encode_server_registration({})
    body = encode_records(record, record)
    store = build_store(monkeypatch, body[:-9], body[:9], body[: 16 + 4 + 9])
    batch = await store.read_servers(5)
    assert batch.end == 6
    assert [change.slots for change in batch.changes] == [4]
    assert isinstance(await store.read_servers(6), StoreUnavailable)
    assert isinstance(await store.read_servers(6), StoreUnavailable)
    assert store._metrics.counts_by_name['store.response_cut_off'] == 3


@pytest.mark.anyio
async def test_record_without_readable_key_names_no_server(monkeypatch):
    """Guards against the removal of a server whose id is part of a bad key."""
    good = b'\x02s1' + encode_server_registration({})
    store = build_store(
        monkeypatch, encode_records(b'\x09s1', b'', b'\x00x', good)
    )
    batch = await store.read_servers(0)
    assert [change.server_id for change in batch.changes] == ['s1']
    assert batch.damaged_ids == ('', '', '')
    assert batch.end == 4


@pytest.mark.anyio
@pytest.mark.parametrize(
    'damaged',
    [
        b'{"key":"\\ud800","offset":1,"value":"eA=="}',
        b'{"key":"\xff","offset":1,"value":"eA=="}',
        b'{"key":"s2","offset":1,"value":"!"}',
        b'{"key":"s2","offset":-1,"value":"eA=="}',
        b'{"key":"s2","offset":1e400,"value":"eA=="}',
        b'{"key":7,"offset":1}',
        b'null',
    ],
)
async def test_damaged_record_of_a_page_hides_no_other(monkeypatch, damaged):
    """Guards against a record that makes the whole store unreadable."""
    value = b64encode(encode_server_registration({}))
    page = b'{"end-offset":3,"items":[%s,{"key":"s1","offset":2,"value":"%s"}]}'
    store = build_store(monkeypatch, page % (damaged, value))
    batch = await store.read_servers(None)
    assert [change.server_id for change in batch.changes] == ['s1']
    assert len(batch.damaged_ids) == 1
    assert store._metrics.counts_by_name['store.page_damaged'] == 1
    json.dumps(batch.damaged_ids, ensure_ascii=False).encode()


@pytest.mark.anyio
@pytest.mark.parametrize(
    'page',
    [
        b'{"end-offset":-1,"items":[]}',
        b'{"end-offset":%d,"items":[]}' % 10**40,
        b'{"end-offset":1,"items":' + b'[' * 100_000,
        b'{"end-offset":1,"x":' + b'{"x":' * 100_000,
        b'\xff',
        b'',
    ],
)
async def test_damaged_page_counts_as_failed_read(monkeypatch, page):
    """Guards against an exception, or an invalid offset, from a page."""
    store = build_store(monkeypatch, page)
    assert isinstance(await store.read_servers(None), StoreUnavailable)


@pytest.mark.anyio
async def test_pages_that_repeat_end_the_read(monkeypatch):
    """Guards against a read that never ends."""
    page = b'{"end-offset":1,"has-more":true,"items":[{"key":"s1","offset":0}]}'
    store = build_store(monkeypatch, *[page] * 9)
    assert isinstance(await store.read_servers(None), StoreUnavailable)


@pytest.mark.anyio
@pytest.mark.parametrize('era', [1, 2])
async def test_pages_of_two_eras_are_a_failed_read(monkeypatch, era):
    """Guards against records of two logs in one read."""
    first = b'{"end-offset":2,"has-more":true,"items":[{"key":"a","offset":0}]}'
    last = b'{"end-offset":2,"items":[{"key":"b","offset":1}]}'
    store = build_store(monkeypatch, first, last, eras=(1, era))
    batch = await store.read_operator_records(None)
    assert isinstance(batch, StoreUnavailable) == (era == 2)
    assert store.newest_era == era


@pytest.mark.anyio
@pytest.mark.timeout(10)
@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff',
        b'[' * 200,
        b'9' * 200,
        encode_server_registration({'address': '10.0.0.9:99999'}),
    ],
    ids=['gone', 'bytes', 'nested', 'number', 'port'],
)
async def test_thousands_of_odd_records_leave_time_for_others(
    monkeypatch, value
):
    """Guards against a read that holds up all requests of an entry."""
    records = [b'\x05%05d' % number + value for number in range(20_000)]
    good = b'\x02s1' + encode_server_registration({})
    store = build_store(monkeypatch, encode_records(*records, good))
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async with anyio.create_task_group() as group:
        group.start_soon(count_turns)
        batch = await store.read_servers(0)
        group.cancel_scope.cancel()
    assert batch.changes[-1].server_id == 's1'
    assert len(batch.damaged_ids) == (20_000 if value else 0)
    assert turns >= 20_000 / ITEMS_PER_TURN


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.binary() | st.lists(st.binary()).map(lambda it: encode_records(*it)))
def test_any_response_is_read_or_refused(monkeypatch, body):
    """Guards against an exception that ends the reading of the store."""
    store = build_store(monkeypatch, *[body] * 4)
    for start in (0, None):
        servers = anyio.run(store.read_servers, start)
        assert isinstance(servers, ServerBatch | StoreUnavailable)
        operator = anyio.run(store.read_operator_records, start)
        if not isinstance(operator, StoreUnavailable):
            for record in operator.records:
                store.decode_operator_record(record)


@pytest.mark.anyio
async def test_entries_register_and_unregister():
    """Guards against entries that stay registered after they have stopped.

    Entries that start find the others through these registrations.
    """
    async with run_platform() as platform:
        with BackendPool(seconds_since_boot) as pool:
            store = PlatformStore(pool, platform.store_address, Metrics())
            assert await store.register_entry('10.0.0.1') is None
            assert await store.register_entry('10.0.0.2') is None
            assert await store.remove_entry('10.0.0.1') is None
            assert await store.read_entry_ips() == ('10.0.0.2',)
