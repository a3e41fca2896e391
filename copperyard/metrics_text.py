"""Metrics of a process in the text exposition format of Prometheus."""

import re
from collections.abc import Iterator
from typing import Final

from copperyard.latency_histograms import LatencyHistogram
from copperyard.metrics import Metrics

CONTENT_TYPE: Final = b'text/plain; version=0.0.4'
_NAME_PATTERN: Final = re.compile(r'^(?P<name>[a-z_.]+)(?P<labels>\{.*\})?$')


def name_with(name: str, **labels: str) -> str:
    """Append labels to the name of a metric.

    :param name: dotted metric name.
    :param labels: label values by label name.
    """
    pairs = ','.join(
        f'{label}="{_escape(value)}"' for label, value in sorted(labels.items())
    )
    return f'{name}{{{pairs}}}'


def render_metrics(metrics: Metrics) -> bytes:
    """Render all counters, gauges and histograms, one sample per line.

    :param metrics: metrics of this process.
    """
    lines = [
        *(
            _format_sample(name, count)
            for name, count in metrics.counts_by_name.items()
        ),
        *(
            _format_sample(name, round(value, 3))
            for name, value in metrics.gauges_by_name.items()
        ),
    ]
    for name, histogram in metrics.histograms_by_name.items():
        lines.extend(_render_histogram(name, histogram))
    return '\n'.join((*sorted(lines), '')).encode()


def _render_histogram(name: str, histogram: LatencyHistogram) -> Iterator[str]:
    counts = histogram.cumulative_counts()
    for bound, count in counts:
        yield _format_sample(name, count, suffix='_seconds_bucket', le=bound)
    yield _format_sample(
        name, round(histogram.total_s, 6), suffix='_seconds_sum'
    )
    yield _format_sample(name, counts[-1][1], suffix='_seconds_count')


def _format_sample(
    name: str,
    value: float,
    *,
    suffix: str = '',
    le: str = '',
) -> str:
    match = _NAME_PATTERN.match(name)
    base_name = match['name'] if match else name
    labels = (match['labels'] or '')[1:-1] if match else ''
    if le:
        labels = ','.join(filter(None, (labels, f'le="{le}"')))
    label_text = f'{{{labels}}}' if labels else ''
    return f'{base_name.replace(".", "_")}{suffix}{label_text} {value}'


def _escape(text: str) -> str:
    return text.replace('\\', r'\\').replace('"', r'\"').replace('\n', ' ')
