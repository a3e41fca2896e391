"""What an entry process learns at its start: addresses, bounds, platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryBounds:
    """Promises of the deployment that the process plans with.

    :param grace_s: seconds between SIGTERM and SIGKILL.
    :param repeat_ratio: repeats per request over all entries.
    :param repeat_slack: repeats allowed beyond that share in a window.
    :param repeat_window_s: seconds over which repeats are counted.
    :param lookup_ttl_s: longest time a lookup's answer may be kept.
    """

    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    lookup_ttl_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``copperyard-entry``, whatever file they came from.

    :param entry_id: name of this VM.
    :param ip: address of this VM; all entries use the same ports.
    :param failure_domain: failure domain of this VM.
    :param caller_address: ``ip:port`` on which callers connect.
    :param lookup_address: ``ip:port`` that answers lookups.
    :param readiness_address: ``ip:port`` that answers readiness checks.
    :param entry_port: UDP and TCP port between entries.
    :param seed_ips: a few entries that may be running.
    :param store_address: ``ip:port`` of the metadata store.
    :param max_descriptors: descriptors for sockets.
    :param bounds: promises of the deployment.
    """

    entry_id: str
    ip: str
    failure_domain: str
    caller_address: str
    lookup_address: str
    readiness_address: str
    entry_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    max_descriptors: int
    bounds: EntryBounds
