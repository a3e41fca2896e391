"""Patterns of starts, stops and failures of many entries, on the model.

``python -m copperyard.entry_patterns --entries 14 92`` prints for each pattern
how soon all entries know, what each sends, and how often the store is read.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Final

import defopt

from copperyard.entry_model import EntryModel, ModelEntry

# Time in which entries that start together settle.
SETTLE_S: Final = 5
# Length of patterns without an event.
CALM_S: Final = 4
KNOWN_LIMIT_S: Final = 10.0
KILLED_SHARE: Final = 0.55
LOSS: Final = 0.05
FREEZE_S: Final = 5
DOMAIN: Final = 'domain-0'
OTHER_DOMAIN: Final = 'domain-1'


@dataclass(frozen=True, slots=True, kw_only=True)
class PatternResult:
    """What a pattern has shown.

    :param known_s: for each entry, seconds until it knew of the event, in
        increasing order; empty without an event.
    :param datagrams_per_s: datagrams of an entry per second, on average.
    :param bytes_per_s: bytes that an entry sends per second, on average.
    :param bytes_per_s_max: most bytes that an entry has sent in a second.
    :param store_calls_max: most store calls of all entries in a second.
    :param store_calls: store calls of all entries.
    :param false_downs: how often an entry that ran was said to be down.
    :param unnamed: how often an entry was found that did not name one that ran,
        where that was checked.
    """

    known_s: list[float]
    datagrams_per_s: float
    bytes_per_s: float
    bytes_per_s_max: int
    store_calls_max: int
    store_calls: int
    false_downs: int
    unnamed: int

    def describe(self) -> str:
        """Return the result as one line of a table."""
        known = '-'
        if self.known_s:
            count = len(self.known_s)
            places = (count // 2, count * 99 // 100, count - 1)
            known = ' / '.join(f'{self.known_s[place]:.2f}' for place in places)
        return (
            f'{known} | {self.datagrams_per_s:.0f} | {self.bytes_per_s:.0f} | '
            f'{self.bytes_per_s_max} | {self.store_calls_max} | '
            f'{self.false_downs} | {self.unnamed}'
        )


class _Measurement:
    """Measures what the entries of a model send from now on."""

    def __init__(self, model: EntryModel) -> None:
        self._model = model
        self._started_at = model.now
        self._downs_before = len(model.false_downs)

    def finish(self, known_s: list[float]) -> PatternResult:
        model, traffic = self._model, self._model.traffic
        seconds = range(int(self._started_at), int(model.now) + 1)
        ips = [entry.ip for entry in model.list_running()]
        span_s = max(1.0, model.now - self._started_at) * len(ips)
        sent = [
            traffic.sent_bytes[ip, second] for ip in ips for second in seconds
        ]
        datagrams = [
            traffic.datagrams[ip, second] for ip in ips for second in seconds
        ]
        calls = [traffic.store_calls[second] for second in seconds]
        return PatternResult(
            known_s=known_s,
            datagrams_per_s=sum(datagrams) / span_s,
            bytes_per_s=sum(sent) / span_s,
            bytes_per_s_max=max(sent),
            store_calls_max=max(calls),
            store_calls=sum(calls),
            false_downs=len(model.false_downs) - self._downs_before,
            unnamed=model.unnamed,
        )


def _settle(
    entries: int, seed: int, loss: float = 0.0
) -> tuple[EntryModel, _Measurement]:
    model = EntryModel(entries, seed=seed, loss=loss)
    model.start_all()
    model.run(SETTLE_S)
    return model, _Measurement(model)


def _names_any(model: EntryModel, ips: set[str], entry: ModelEntry) -> bool:
    alive = entry.view.list_alive(model.now)
    return any(peer.heartbeat.ip in ips for peer in alive)


def _names_all(model: EntryModel, ips: set[str], entry: ModelEntry) -> bool:
    alive = entry.view.list_alive(model.now)
    return ips <= {entry.ip, *(peer.heartbeat.ip for peer in alive)}


def _measure_loss(
    model: EntryModel, measurement: _Measurement, ips: list[str]
) -> PatternResult:
    killed = set(ips)
    known_s = model.measure_until(
        lambda entry: not _names_any(model, killed, entry), KNOWN_LIMIT_S
    )
    return measurement.finish(known_s)


def play_calm(entries: int, seed: int) -> PatternResult:
    """Nothing happens."""
    model, measurement = _settle(entries, seed)
    model.run_watching(CALM_S)
    return measurement.finish([])


def play_lossy(entries: int, seed: int) -> PatternResult:
    """One datagram in twenty is lost."""
    model, measurement = _settle(entries, seed, LOSS)
    model.run_watching(2 * CALM_S)
    return measurement.finish([])


def play_mass_start(entries: int, seed: int) -> PatternResult:
    """All entries start at the same moment; measured until all know all."""
    model = EntryModel(entries, seed=seed)
    measurement = _Measurement(model)
    model.start_all()
    model.run(0.3)
    everyone = set(model.entries_by_ip)
    known_s = model.measure_until(
        partial(_names_all, model, everyone), KNOWN_LIMIT_S
    )
    return measurement.finish(known_s)


def play_one_killed(entries: int, seed: int) -> PatternResult:
    """One entry is killed."""
    model, measurement = _settle(entries, seed)
    killed = [model.draw_one()]
    model.kill(killed)
    return _measure_loss(model, measurement, killed)


def play_most_killed(entries: int, seed: int) -> PatternResult:
    """More than half of the entries are killed at the same moment."""
    model, measurement = _settle(entries, seed)
    killed = model.draw(KILLED_SHARE)
    model.kill(killed)
    return _measure_loss(model, measurement, killed)


def play_domain_lost(entries: int, seed: int) -> PatternResult:
    """All entries of one failure domain are killed at the same moment."""
    model, measurement = _settle(entries, seed)
    killed = [
        entry.ip for entry in model.list_running() if entry.domain == DOMAIN
    ]
    model.kill(killed)
    return _measure_loss(model, measurement, killed)


def play_domain_cut(entries: int, seed: int) -> PatternResult:
    """One failure domain is cut off and comes back; measured from its return.

    Meanwhile each side says that the other one is down.
    """
    model, _ = _settle(entries, seed)
    model.is_cut = lambda sender, receiver: (
        (sender.domain == DOMAIN) != (receiver.domain == DOMAIN)
    )
    model.run(FREEZE_S)
    model.is_cut = lambda sender, receiver: False
    measurement = _Measurement(model)
    everyone = set(model.entries_by_ip)
    known_s = model.measure_until(
        partial(_names_all, model, everyone), KNOWN_LIMIT_S
    )
    return measurement.finish(known_s)


def play_pair_cut(entries: int, seed: int) -> PatternResult:
    """Two failure domains do not reach each other, but all others."""
    model, measurement = _settle(entries, seed)
    pair = {DOMAIN, OTHER_DOMAIN}
    model.is_cut = lambda sender, receiver: (
        {sender.domain, receiver.domain} == pair
    )
    model.run_watching(2 * CALM_S)
    return measurement.finish([])


def play_one_way(entries: int, seed: int) -> PatternResult:
    """What one entry sends does not reach half of the others."""
    model, measurement = _settle(entries, seed)
    mute_ip = model.draw_one()
    deaf_ips = set(model.draw(1 / 2))
    model.is_cut = lambda sender, receiver: (
        sender.ip == mute_ip and receiver.ip in deaf_ips
    )
    model.run_watching(2 * CALM_S)
    return measurement.finish([])


def play_stop(entries: int, seed: int) -> PatternResult:
    """One entry is stopped in an orderly way."""
    model, measurement = _settle(entries, seed)
    ip = model.draw_one()
    model.entries_by_ip[ip].stop()
    return _measure_loss(model, measurement, [ip])


def play_restart(entries: int, seed: int) -> PatternResult:
    """One entry is killed and starts again at once, without its knowledge."""
    model, measurement = _settle(entries, seed)
    ip = model.draw_one()
    model.kill([ip])
    model.run(0.5)
    model.start(ip, model.entries_by_ip[ip].domain)
    everyone = set(model.entries_by_ip)
    known_s = model.measure_until(
        partial(_names_all, model, everyone), KNOWN_LIMIT_S
    )
    model.run(2)
    return measurement.finish(known_s)


def play_reader_killed(entries: int, seed: int) -> PatternResult:
    """The entry that reads the store is killed; measured until it is read."""
    model, measurement = _settle(entries, seed)
    killed = model.last_reader_ip
    model.kill([killed])
    killed_at = model.now
    known_s = model.measure_until(
        lambda entry: entry.servers_read_at > killed_at, KNOWN_LIMIT_S
    )
    return measurement.finish(known_s)


PATTERNS: Final = MappingProxyType(
    {
        'calm': play_calm,
        'lossy': play_lossy,
        'mass start': play_mass_start,
        'one killed': play_one_killed,
        '55 in 100 killed': play_most_killed,
        'domain lost': play_domain_lost,
        'domain cut and back': play_domain_cut,
        'two domains cut': play_pair_cut,
        'one way': play_one_way,
        'orderly stop': play_stop,
        'restart': play_restart,
        'reader killed': play_reader_killed,
    }
)


def print_patterns(*, entries: list[int], seed: int = 1) -> None:
    """Play all patterns and print a table.

    :param entries: numbers of entries.
    :param seed: seed of all random choices.
    """
    print(  # noqa: T201, WPS421
        'pattern | entries | known after s (median / 99 in 100 / worst) | '
        'datagrams/s | bytes/s | most bytes in a second | '
        'most store calls in a second | false downs | not named'
    )
    play: Callable[[int, int], PatternResult]
    for number in entries:
        for name, play in PATTERNS.items():
            line = play(number, seed).describe()
            print(f'{name} | {number} | {line}')  # noqa: T201, WPS421


if __name__ == '__main__':
    defopt.run(print_patterns)
