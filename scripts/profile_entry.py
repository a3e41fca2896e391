"""Run an entry process under cProfile.

The argument is the file that gets the profile when the process stops.
"""

import cProfile
import sys
from importlib import import_module

from copperyard.signal_mask import block_signals


def main() -> None:
    """Run the entry process, and write the profile at the end."""
    block_signals()
    path = sys.argv.pop(1)
    profile = cProfile.Profile()
    entry = import_module('copperyard.entry')
    try:
        profile.runcall(entry.main)
    finally:
        profile.dump_stats(path)


if __name__ == '__main__':
    main()
