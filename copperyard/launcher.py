"""Starts a program with its signals blocked.

Importing the modules of a program takes a few tenths of a second, in which a
signal would end the process.
"""

import sys
from importlib import import_module

from copperyard.signal_mask import block_signals


def run_entry() -> None:
    """Run the entry process."""
    _run('entry')


def run_agent() -> None:
    """Run the agent."""
    _run('agent')


def run_proxy() -> None:
    """Run the proxy."""
    _run('proxy')


def _run(program: str) -> None:
    block_signals()
    import_module(f'copperyard.{program}').main()


if __name__ == '__main__':
    _run(sys.argv.pop(1))
