"""Settings of an entry process, independent of the settings file's format."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryBounds:
    """Limits that the platform sets for all entries.

    :param grace_s: seconds between SIGTERM and SIGKILL.
    :param retry_ratio: retries allowed per request, over all entries.
    :param retry_slack: retries allowed on top of that per window, over all
        entries.
    :param retry_window_s: length of the window over which retries are
        counted, in seconds.
    :param lookup_ttl_max_s: longest time in seconds for which a caller may
        cache the response to a lookup.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    lookup_ttl_max_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``copperyard-entry``.

    :param entry_id: name of this VM.
    :param ip: IP address of this VM; all entries use the same ports.
    :param failure_domain: failure domain of this VM.
    :param caller_address: ``ip:port`` on which callers connect.
    :param lookup_address: ``ip:port`` on which lookups are answered.
    :param readiness_address: ``ip:port`` on which readiness checks are
        answered.
    :param entry_port: UDP and TCP port for other entries.
    :param seed_ips: IP addresses of entries to contact first; not all of them
        need to be running.
    :param store_address: ``ip:port`` of the metadata store.
    :param max_descriptors: number of file descriptors available for sockets.
    :param bounds: limits that the platform sets for all entries.
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
