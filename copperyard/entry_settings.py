"""Settings of an entry process, independent of the settings file's format."""

from dataclasses import dataclass

from copperyard.clients.client_limits import ClientLimits


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far tenants may exceed their allowances, over all entries.

    :param window_s: length of the window over which requests are counted, in
        seconds.
    :param overage: excess over the allowance, as a share of it.
    :param slack: requests on top of that per window.
    """

    window_s: float
    overage: float
    slack: float


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Limits on what a new version of a service may receive.

    :param canary_share: share of the service's requests that a version may
        get before it is known to be good.
    :param canary_slack: requests on top of that.
    :param rollback_s: time in seconds after which a version that has given a
        number of bad answers gets no requests any more.
    """

    canary_share: float
    canary_slack: float
    rollback_s: float


@dataclass(frozen=True, slots=True)
class EntryCapacity:
    """What an entry VM can process.

    :param cores: processor cores, with fractions.
    :param bandwidth_mbps: bandwidth of its link in Mbit/s.
    """

    cores: float
    bandwidth_mbps: float


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
    :param revocation_s: time in seconds after which no request with a revoked
        API key may run at any entry; ``None`` for no such limit.
    :param quota: bounds on the allowances of tenants, if there are any.
    :param rollout: bounds on new versions, if there are any.
    """

    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    lookup_ttl_max_s: float
    revocation_s: float | None = None
    quota: QuotaBounds | None = None
    rollout: RolloutBounds | None = None


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
    :param memory_bytes: memory that the process may use; ``None`` if unknown.
    :param capacity: what this VM can process; ``None`` if unknown.
    :param clients: limits on clients.
    :param is_spillover_enabled: whether requests may leave their failure domain
        by shares.
    :param price_per_gb: price of a GB (10^9 bytes) between failure domains, as
        the number of requests in time that are worth as much; ``None`` if only
        the time decides which requests leave their failure domain.
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
    memory_bytes: int | None = None
    capacity: EntryCapacity | None = None
    clients: ClientLimits = ClientLimits()
    is_spillover_enabled: bool = False
    price_per_gb: float | None = None
