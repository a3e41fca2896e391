"""Metrics of a process as text, in the exposition format of Prometheus."""

import re
from collections.abc import Iterator
from typing import Final

from copperyard.latency_histograms import LatencyHistogram
from copperyard.metrics import Metrics

CONTENT_TYPE: Final = b'text/plain; version=0.0.4'
_LABELS: Final = re.compile(r'^(?P<name>[a-z_.]+)(?P<labels>\{.*\})?$')


def name_with(name: str, **labels: str) -> str:
    """Return the name of a metric that differs by labels.

    :param name: dotted name.
    :param labels: label names and values.
    """
    texts = ','.join(
        f'{label}="{_escape(text)}"' for label, text in sorted(labels.items())
    )
    return f'{name}{{{texts}}}'


def render_metrics(metrics: Metrics) -> bytes:
    """Return all counters, gauges and histograms, one reading a line.

    :param metrics: of this process.
    """
    lines = [
        *(_join(name, count) for name, count in metrics.counts_by_name.items()),
        *(
            _join(name, round(reading, 3))
            for name, reading in metrics.gauges_by_name.items()
        ),
    ]
    for name, histogram in metrics.histograms_by_name.items():
        lines.extend(_render_histogram(name, histogram))
    return '\n'.join((*sorted(lines), '')).encode()


def _render_histogram(name: str, histogram: LatencyHistogram) -> Iterator[str]:
    counts = histogram.list_cumulative()
    for bound, count in counts:
        yield _join(name, count, suffix='_seconds_bucket', le=bound)
    yield _join(name, round(histogram.total_s, 6), suffix='_seconds_sum')
    yield _join(name, counts[-1][1], suffix='_seconds_count')


def _join(
    name: str,
    reading: float,
    *,
    suffix: str = '',
    le: str = '',
) -> str:
    found = _LABELS.match(name)
    plain = found['name'] if found else name
    labels = (found['labels'] or '')[1:-1] if found else ''
    if le:
        labels = ','.join(filter(None, (labels, f'le="{le}"')))
    shown = f'{{{labels}}}' if labels else ''
    return f'{plain.replace(".", "_")}{suffix}{shown} {reading}'


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', ' ')
