"""The operations page documents all log events, metrics and reasons."""

import re
from pathlib import Path

import pytest

from copperyard.outcomes import RefusalReason, RetryReason, UnknownReason

_ROOT = Path(__file__).parent.parent
_PAGE = (_ROOT / 'docs' / 'OPERATIONS.md').read_text()
_CODE = '\n'.join(
    path.read_text() for path in (_ROOT / 'copperyard').rglob('*.py')
)


def _names(pattern):
    return sorted(set(re.findall(pattern, _CODE)))


@pytest.mark.parametrize(
    'names',
    [
        _names(r"log_event\(\s*'([a-z_]+)'"),
        _names(r"metrics\.(?:count|time|gauge)\(\s*'([a-z_.]+)'"),
        [str(reason) for reason in (*RefusalReason, *UnknownReason)],
        [str(reason) for reason in RetryReason],
    ],
    ids=['events', 'metrics', 'refusals', 'retries'],
)
def test_page_names_everything(names):
    """Guards against a log event, metric or reason that is not documented.

    Whoever is on call looks them up on that page.
    """
    assert names
    assert [name for name in names if f'`{name}`' not in _PAGE] == []
