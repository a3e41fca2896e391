"""Settings files of the programs and their validation."""

import ipaddress
import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final, TypeAlias, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from copperyard.exceptions import SettingsError

_Settings = TypeVar('_Settings')
# Limits the length, because ``int`` refuses thousands of digits.
_PORT_PATTERN: Final = re.compile('[0-9]{1,5}')
# The VM list holds thousands of addresses; ``ipaddress`` is slower.
_OCTET: Final = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_IPV4_PATTERN: Final = re.compile(rf'{_OCTET}(?:\.{_OCTET}){{3}}')
# A longer one would be split at each colon before it is refused.
_IP_LENGTH_MAX: Final = 45
_SECONDS_MAX: Final = 1_000_000_000
_QUEUE_LENGTH_MAX: Final = 2**31 - 1

_Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=2**16 - 1)]
_Seconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=_SECONDS_MAX)]
_QueueLength: TypeAlias = Annotated[
    int, msgspec.Meta(ge=0, le=_QUEUE_LENGTH_MAX)
]


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Address of the statsd server.

    :param host: IP address of the server; empty to send no metrics.
    :param port: UDP port of the server.
    :param prefix: prefix of all metric names.
    """

    host: str = ''
    port: _Port = 8125
    prefix: str = 'copperyard'


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxySettings:
    """Settings of ``copperyard-proxy``.

    :param entry_id: id of this entry VM.
    :param failure_domain: failure domain of this VM.
    :param caller_address: ``ip:port`` on which callers connect.
    :param proxy_address: ``ip:port`` on which other proxies connect.
    :param agent_address: ``ip:port`` of this VM's agent.
    :param queue_length: maximum number of waiting requests per service.
    :param drain_s: seconds that a shutdown waits for requests in flight.
    """

    entry_id: str
    failure_domain: str
    caller_address: str
    proxy_address: str
    agent_address: str
    queue_length: _QueueLength = 256
    drain_s: _Seconds = 30.0
    log_level: str = 'info'
    statsd: StatsdSettings = field(default_factory=StatsdSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Settings of ``copperyard-agent``.

    :param entry_id: id of this entry VM.
    :param region: region of this VM.
    :param failure_domain: failure domain of this VM.
    :param cell: cell whose services this VM serves.
    :param caller_address: ``ip:port`` on which callers connect to the proxy.
    :param proxy_address: ``ip:port`` on which other proxies connect to it.
    :param agent_address: ``ip:port`` on which other agents connect.
    :param operator_address: ``ip:port`` of the operator API.
    :param log_url: base URL of the platform's log service.
    :param vm_list_url: base URL of the platform's VM list.
    :param seed_addresses: ``ip:port`` of other agents, used to start while
        the log is unreachable.
    :param drain_s: seconds that a shutdown waits for requests in flight.
    """

    entry_id: str
    region: str
    failure_domain: str
    cell: str = 'main'
    caller_address: str
    proxy_address: str
    agent_address: str
    operator_address: str
    log_url: str
    vm_list_url: str
    seed_addresses: tuple[str, ...] = ()
    drain_s: _Seconds = 30.0
    log_level: str = 'info'
    statsd: StatsdSettings = field(default_factory=StatsdSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSettings:
    """Settings of the ``copperyard`` command of operators.

    :param operator: name of the operator, written into the log records.
    :param agent_urls: base URLs of operator APIs, tried in order.
    :param timeout_s: timeout of one call in seconds.
    """

    operator: str
    agent_urls: tuple[str, ...]
    timeout_s: _Seconds = 10.0


def load_settings(
    path: Path,
    kind: type[_Settings],
) -> Result[_Settings, SettingsError]:
    """Read and validate a settings file.

    :param path: path of the JSON file.
    :param kind: class that describes the file.
    :returns: the settings, or the first error with the path of its key.
    """
    try:
        raw = json.loads(path.read_text())
    except OSError as error:
        return Failure(SettingsError('$', 'a readable file', str(error)))
    except (ValueError, RecursionError) as error:
        return Failure(SettingsError('$', 'valid JSON', str(error)))
    return check_settings(raw, kind)


def check_settings(
    raw: object,
    kind: type[_Settings],
) -> Result[_Settings, SettingsError]:
    """Validate decoded settings.

    :param raw: decoded JSON.
    :param kind: class that describes the file.
    :returns: the settings, or the first error with the path of its key.
    """
    if not isinstance(raw, dict):
        return Failure(SettingsError('$', 'an object', type(raw).__name__))
    known = set(getattr(kind, '__dataclass_fields__', ()))
    for key in raw:
        if key not in known:
            names = ', '.join(sorted(known))
            settings_error = SettingsError(
                f'$.{key}', f'one of {names}', 'unknown key'
            )
            return Failure(settings_error)
    try:
        settings = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return Failure(_convert_error(error))
    return _check_addresses(raw, settings)


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :param address: an address for which ``is_address`` is true.
    :returns: IP address and port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def _convert_error(error: msgspec.ValidationError) -> SettingsError:
    text, _, path = str(error).partition(' - at `')
    expected, _, got = text.partition(', got ')
    key_path = path.rstrip('`') or '$'
    return SettingsError(
        key_path,
        expected.removeprefix('Expected '),
        got or 'nothing',
    )


def _check_addresses(
    raw: dict[str, object],
    settings: _Settings,
) -> Result[_Settings, SettingsError]:
    for key, address in raw.items():
        if not key.endswith('_address'):
            continue
        if not is_address(str(address)):
            settings_error = SettingsError(f'$.{key}', 'ip:port', repr(address))
            return Failure(settings_error)
    return Success(settings)


def is_address(address: str) -> bool:
    """Return whether a string is ``ip:port`` with a port above 0.

    The port is in ASCII digits; an IPv6 address has no zone index.
    """
    host, _, port = address.rpartition(':')
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) < 2**16:
        return False
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    return is_ipv4(host) or _is_ip(host)


def is_ipv4(ip: str) -> bool:
    """Return whether a string is an IPv4 address."""
    return _IPV4_PATTERN.fullmatch(ip) is not None


def _is_ip(host: str) -> bool:
    if len(host) > _IP_LENGTH_MAX:
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return '%' not in host
