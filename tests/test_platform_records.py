"""Decoding of what the users' platform stores; damaged records included."""

import json

import pytest
from returns.result import Failure

from copperyard.clock import boot_now
from copperyard.exchanges import BackendPool
from copperyard.platform.entries import decode_entry, is_damaged
from copperyard.platform.headers import read_cold_left_s, read_load
from copperyard.platform.lookups import encode_lookup, read_caller_domain
from copperyard.platform.operator import decode_configuration
from copperyard.platform.settings import decode_settings, load_entry_settings
from copperyard.platform.store import PlatformStore
from copperyard.server_loads import LoadSample
from copperyard.server_table import ServerGone, ServerReport
from copperyard.store_feed import (
    ConfigurationChange,
    DomainChange,
    OperatorRecord,
    RecordsDeleted,
    StoreUnavailable,
    UnreadableChange,
)
from tests.standins.platform import (
    PlatformServerStandIn,
    configuration,
    open_world,
)

pytestmark = pytest.mark.timeout(20)

ENTRY = {
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


def encode(changes):
    """Encode the entry with some fields changed or left out."""
    entry = json.loads(json.dumps(ENTRY))
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


def test_entry_is_decoded():
    """Each field lands where its meaning is."""
    assert decode_entry('s1', encode({}), 7) == ServerReport(
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
    )
    assert decode_entry('s1', b'', 7) == ServerGone('s1', 7)
    assert not is_damaged(b'')


@pytest.mark.parametrize(
    'value',
    [
        b'\xff\xfe',
        b'null',
        b'[]',
        encode({'info': None}),
        encode({'address': None}),
        encode({'address': 'elsewhere'}),
        encode({'address': 17}),
        encode({'info.capacity': 'four'}),
        encode({'info.capacity': 0}),
        encode({'status.state': 'melting'}),
        encode({'status.sequence': '4'}),
        encode({'status.sequence': -1}),
        encode({'status.warmup-left-s': 'soon'}),
        encode({'born': 'today'}),
    ],
)
def test_damaged_entry_names_no_server(value):
    """Another writer's or a half-filled entry is never used."""
    assert isinstance(decode_entry('s1', value, 1), ServerGone)
    assert is_damaged(value)


def test_configuration_is_decoded():
    """Routes, services and limits in the product's types."""
    value = json.dumps(configuration(version=12)).encode()
    table = decode_configuration(value)
    assert table.version == 12
    route = table.find('h.example', '/write/x')
    assert not route.is_idempotent
    assert route.timeout_s == 1
    assert route.max_attempts == 2
    assert table.find('h.example', '/v12/x').is_idempotent
    assert table.limits.head_bytes == 2048
    assert table.services_by_name['ledger'].cold_per_s == 15.0


def test_split_route_has_its_parts():
    """A split names its services by weight."""
    content = configuration()
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


@pytest.mark.parametrize('value', [b'', b'{}', b'{"config-version":"zz"}'])
def test_damaged_configuration_is_none(value):
    """Nothing follows from it."""
    assert decode_configuration(value) is None


def test_operator_records_are_told_apart():
    """Configurations, evacuations, and what is neither."""
    store = PlatformStore(BackendPool(), '127.0.0.1:1')
    value = json.dumps(configuration()).encode()
    decoded = [
        store.decode_operator(OperatorRecord(name, content, 1))
        for name, content in (
            ('config', value),
            ('evacuate/a', b'{}'),
            ('evacuate/a', b''),
            ('config', b'??'),
            ('other', b'{}'),
        )
    ]
    assert isinstance(decoded[0], ConfigurationChange)
    assert decoded[1:3] == [
        DomainChange('a', is_out=True),
        DomainChange('a', is_out=False),
    ]
    assert all(isinstance(change, UnreadableChange) for change in decoded[3:])


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
def test_load_reports(text, sample):
    """Running, waiting, slots, and how slow the VM is now."""
    assert read_load(text) == sample


def test_cold_time_of_a_health_check():
    """Milliseconds on the wire, seconds inside."""
    assert read_cold_left_s(((b'x-warmup-ms', b'1500'),)) == 1.5
    assert read_cold_left_s(()) == 0.0
    assert read_cold_left_s(((b'x-warmup-ms', b'?'),)) == 0.0


def test_settings_are_decoded():
    """Unknown fields are ignored, addresses are those of this VM."""
    settings = decode_settings(SETTINGS).unwrap()
    assert settings.caller_address == '10.0.0.1:8161'
    assert settings.entry_port == 7720
    assert settings.seed_ips == ('10.0.0.1', '10.0.0.2')
    assert settings.bounds.repeat_slack == 58.0


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('node-name', 5),
        ('listen', {}),
        ('platform', {'address': 'nowhere'}),
        ('bounds', {}),
        ('internal-port-range', 'x'),
        ('internal-port-range', []),
        ('seeds', None),
    ],
)
def test_fault_in_settings_names_the_field(path, value):
    """The process ends before it listens, with the field's name."""
    failure = decode_settings({**SETTINGS, path: value})
    assert isinstance(failure, Failure)
    assert failure.failure().path.startswith(path)


def test_unreadable_settings_file(tmp_path):
    """A missing file and one that is no TOML."""
    assert isinstance(load_entry_settings(tmp_path / 'none'), Failure)
    broken = tmp_path / 'broken.toml'
    broken.write_text('= 1')
    assert isinstance(load_entry_settings(broken), Failure)


def test_lookup_messages():
    """What a caller asks and gets."""
    assert read_caller_domain(b'/l?name=h&region=r&zone=a') == 'a'
    assert read_caller_domain(b'/l') == ''
    assert json.loads(encode_lookup(['10.0.0.1:1'], 2.0)) == {
        'addresses': ['10.0.0.1:1'],
        'ttl-s': 2.0,
    }


@pytest.mark.anyio
async def test_store_reads_newest_and_changes():
    """All entries first, then only what has come since."""
    server = PlatformServerStandIn('s1')
    async with open_world(server) as world:
        with BackendPool(boot_now) as pool:
            store = PlatformStore(pool, world.store_address)
            full = await store.read_servers(None)
            assert full.is_full
            assert [change.server_id for change in full.changes] == ['s1']
            world.store.put_server('s1', server.address, sequence=2)
            world.store.put('keyed.servers', 's2', b'\xff')
            world.store.drop('keyed.servers', 's1')
            batch = await store.read_servers(full.end)
            assert [change.offset for change in batch.changes] == [1, 2, 3]
            assert batch.damaged == ('s2',)
            assert batch.end == 4
            operator = await store.read_operator(None)
            assert operator.end == 1


@pytest.mark.anyio
async def test_store_faults_are_told_apart():
    """Deleted history is read anew; an outage is waited for."""
    async with open_world(PlatformServerStandIn('s1')) as world:
        with BackendPool(boot_now) as pool:
            store = PlatformStore(pool, world.store_address)
            world.store.delete_history('keyed.servers')
            assert await store.read_servers(0) == RecordsDeleted()
            world.store.outage = True
            assert await store.read_servers(0) == StoreUnavailable('status 503')
            assert await store.register_entry('10.0.0.1') is not None


@pytest.mark.anyio
async def test_entries_register():
    """An entry finds the others in the store, and leaves no trace behind."""
    async with open_world() as world:
        with BackendPool(boot_now) as pool:
            store = PlatformStore(pool, world.store_address)
            assert await store.register_entry('10.0.0.1') is None
            assert await store.register_entry('10.0.0.2') is None
            assert await store.remove_entry('10.0.0.1') is None
            assert await store.read_entries() == ('10.0.0.2',)
