"""Version of the message formats, and messages of builds that know more.

A field is only ever added at the end, with a default; a message whose meaning
changes gets a new kind. ``tests/message_forms.json`` holds the forms of this
version, and section 17 of ``docs/design.md`` the rule.
"""

from typing import Final

from copperyard.logs import log_event
from copperyard.metrics import Metrics
from copperyard.metrics_text import add_labels

# Version of the package, see ``pyproject.toml``.
BUILD_VERSION: Final = '0.2.0'
# Raised with each change of a message's form. Heartbeats of 0 do not tell it.
FORMATS_VERSION: Final = 3
# Oldest version whose messages this build reads, and which its own can be read
# by.
OLDEST_FORMATS_VERSION: Final = 0
FORMATS_VERSION_MAX: Final = 1_000_000
# Kinds that are counted apart; a faulty sender could make up any number.
KINDS_KEPT: Final = 32
KIND_LENGTH_MAX: Final = 40

_FURTHER_KINDS: Final = 'further'


def log_build() -> None:
    """Log the version of this build and of its message formats."""
    log_event(
        'build',
        version=BUILD_VERSION,
        formats=FORMATS_VERSION,
        oldest_formats=OLDEST_FORMATS_VERSION,
    )


class UnknownKinds:
    """Counts and logs what this build does not know, once for each kind.

    :param metrics: metrics of this process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._seen: set[tuple[str, str]] = set()

    def record(self, name: str, kind: str, source: str = '') -> None:
        """Count and log a kind unless that was done before.

        :param name: what is of this kind, such as ``'datagram.unknown'``.
        :param kind: the unknown kind.
        :param source: address of the sender, if known.
        """
        kind = kind[:KIND_LENGTH_MAX]
        if len(self._seen) >= KINDS_KEPT and (name, kind) not in self._seen:
            kind = _FURTHER_KINDS
        if (name, kind) in self._seen:
            return
        self._seen.add((name, kind))
        self._metrics.count(add_labels(name, kind=kind))
        log_event(name.replace('.', '_'), kind=kind, source=source)
