"""Builders of boards, servers and routes for tests of the entry process."""

from copperyard.entry_board import EntryBoard
from copperyard.entry_messages import Heartbeat
from copperyard.entry_settings import EntryBounds, EntrySettings
from copperyard.http_calls import build_request
from copperyard.metrics import Metrics
from copperyard.request_states import RequestState
from copperyard.routes import (
    RequestLimits,
    Route,
    RouteTable,
    ServiceConfig,
    WeightedService,
)
from copperyard.server_loads import LoadSample
from copperyard.server_table import ServerReport
from copperyard.store_replica import StoreReplica

BOUNDS = EntryBounds(
    grace_s=6.0,
    retry_ratio=0.2,
    retry_slack=58.0,
    retry_window_s=10.0,
    lookup_ttl_max_s=5.0,
)


def build_settings(**changes):
    """Build settings of an entry in failure domain ``a``.

    :param changes: fields that differ from the defaults.
    """
    fields = {
        'entry_id': 'e1',
        'ip': '127.0.0.1',
        'failure_domain': 'a',
        'caller_address': '127.0.0.1:0',
        'lookup_address': '127.0.0.1:0',
        'readiness_address': '127.0.0.1:0',
        'entry_port': 0,
        'seed_ips': (),
        'store_address': '127.0.0.1:1',
        'max_descriptors': 1000,
        'bounds': BOUNDS,
    }
    return EntrySettings(**{**fields, **changes})


def build_route(**changes):
    """Build a route to the service ``ledger``.

    :param changes: fields that differ from the defaults.
    """
    fields = {
        'name': 'r',
        'host': 'h.example',
        'prefix': '/a/',
        'is_idempotent': True,
        'timeout_s': 1.0,
        'target_latency_s': 0.2,
        'max_attempts': 2,
        'priority': 1,
        'parts': (WeightedService('ledger', 1.0),),
    }
    return Route(**{**fields, **changes})


def build_route_table(*routes, version=1, tenants=None):
    """Build a configuration with the service ``ledger``.

    :param routes: its routes; the default is the one of ``build_route``.
    :param version: version of the configuration.
    :param tenants: its tenants.
    """
    service = ServiceConfig(
        name='ledger',
        health_path='/health',
        connection_limit=220,
        cold_requests_per_s=15.0,
    )
    return RouteTable(
        version,
        routes or (build_route(),),
        (service,),
        RequestLimits(),
        tenants,
    )


def build_report(server_id, **changes):
    """Build a report of a warm server in failure domain ``a``.

    :param server_id: id of the server.
    :param changes: fields that differ from the defaults.
    """
    fields = {
        'server_id': server_id,
        'service': 'ledger',
        'address': '127.0.0.1:9',
        'failure_domain': 'a',
        'slots': 4,
        'is_draining': False,
        'cold_left_s': 0.0,
        'started_ms': 1,
        'sequence': 1,
        'offset': changes.get('sequence', 1),
    }
    return ServerReport(**{**fields, **changes})


def build_heartbeat(ip='10.0.0.2', domain='a', **changes):
    """Build the heartbeat of a ready entry.

    :param changes: fields that differ from the defaults.
    """
    fields = {
        'ip': ip,
        'failure_domain': domain,
        'is_ready': True,
        'operator_end': 1,
        'operator_age_s': 0.0,
        'known_ips': (),
    }
    return Heartbeat(**{**fields, **changes})


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def build_board(*server_ids, clock=None, **changes):
    """Build a board with idle servers and fresh load reports.

    :param server_ids: ids of the servers.
    :param clock: clock of the board; a new ``ManualClock`` by default.
    :param changes: settings that differ from the defaults.
    """
    clock = clock or ManualClock()
    board = EntryBoard(build_settings(**changes), Metrics(), clock=clock)
    board.routes = build_route_table()
    board.has_servers = True
    board.entry_ips = frozenset((board.settings.ip,))
    for server_id in server_ids:
        board.server_table.apply(build_report(server_id), clock())
        load = board.find_load(board.server_table.servers_by_id[server_id])
        load.record_sample(LoadSample(0, 4, 1.0), clock())
    return board


def build_request_state(clock, *, request_id='q1', left_s=0.8, **changes):
    """Build a request that matches the route of ``build_route``.

    :param clock: clock for the deadline.
    :param request_id: id of the request.
    :param left_s: seconds until the deadline.
    :param changes: fields of the route that differ from the defaults.
    """
    route = build_route(**changes)
    return RequestState(
        request=build_request(
            'GET' if route.is_idempotent else 'POST',
            b'/a/x',
            ((b'host', b'h.example'),),
            service='ledger',
            request_id=request_id,
            is_idempotent=route.is_idempotent,
        ),
        body=b'',
        route=route,
        deadline=clock() + left_s,
    )


def build_read_replica(board):
    """Build a replica that has read one record of each log of the store.

    :param board: board that it updates.
    """
    replica = StoreReplica(board, lambda record: None)
    replica.operator_end = replica.servers_end = 1
    replica.operator_read_at = replica.servers_read_at = 0.0
    return replica
