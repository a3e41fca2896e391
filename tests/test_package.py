"""Public names of the package, and modules that an import loads."""

import subprocess
import sys

import pytest

import copperyard


@pytest.mark.parametrize('name', copperyard.__all__)
def test_public_names_can_be_imported(name):
    """Guards against a name in ``__all__`` that cannot be imported."""
    assert getattr(copperyard, name).__name__ == name


def test_unknown_name_raises_attribute_error():
    """Guards against a wrong exception for names that are not public.

    ``__getattr__`` of the package must behave as for any other module.
    """
    with pytest.raises(AttributeError, match='no_such_name'):
        _ = copperyard.no_such_name


def test_entry_imports_no_other_program():
    """Guards against a slow start of the entry process.

    Importing the entry must not load modules of the agent or the proxy.
    """
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
