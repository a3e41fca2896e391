"""The public names and what an import of the package costs."""

import subprocess
import sys

import pytest

import copperyard


@pytest.mark.parametrize('name', copperyard.__all__)
def test_public_names(name):
    """Each exported name exists."""
    assert getattr(copperyard, name).__name__ == name


def test_unknown_names():
    """A name that is not exported is an error as in any module."""
    with pytest.raises(AttributeError, match='no_such_name'):
        _ = copperyard.no_such_name


def test_entry_imports_only_what_it_runs():
    """Start-up time: the entry must not load the product's other programs."""
    script = (
        'import sys, copperyard.entry\n'
        'print(*(name for name in sys.modules if name.startswith("copper")))'
    )
    loaded = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        timeout=20,
        check=True,
    ).stdout.split()
    unwanted = {'records', 'blackboard', 'proxy', 'agent', 'membership'}
    assert not unwanted & {name.removeprefix('copperyard.') for name in loaded}
