"""Plays roll-outs of many loads on a virtual clock and prints their outcomes.

    PYTHONPATH=. python scripts/measure_rollouts.py [SEEDS [LARGE_SEEDS]]

The entries' gates, controllers and judgement are the real ones; see
``tests/rollout_model.py``. Large loads have the entries and servers of the two
deployments of ``docs/hard-load.md``.
"""

import sys
from collections import Counter

from copperyard.rollouts import controller
from tests.rollout_model import ROLLOUT, Behaviour, World, list_final

LOADS = {
    'good': {},
    'good, 30% of messages lost': {'loss': 0.3},
    'good, few requests': {'rate': 27, 'servers': 5},
    'good, both fail 3%': {
        'new': Behaviour(failures=0.03),
        'old': Behaviour(failures=0.03),
    },
    'good, old one fails 20%': {'old': Behaviour(failures=0.2)},
    'good, old one slow': {'old': Behaviour(slowness=2.0)},
    'fails 30%': {'new': Behaviour(failures=0.3)},
    'fails 30%, few requests': {
        'new': Behaviour(failures=0.3),
        'rate': 27,
        'servers': 5,
    },
    'fails 10%': {'new': Behaviour(failures=0.1)},
    'fails 5%': {'new': Behaviour(failures=0.05)},
    'fails 50%, old one 20%': {
        'new': Behaviour(failures=0.5),
        'old': Behaviour(failures=0.2),
    },
    'fails 40% after 6 s': {'new': Behaviour(failures=0.4, from_s=6.0)},
    'hangs 50% after 5.5 s': {
        'new': Behaviour(failures=0.5, hang_s=4.0, from_s=5.5)
    },
    'fails 30% on one route of four': {
        'new': Behaviour(failures=0.3, routes=('c',)),
        'routes': ('a', 'b', 'c', 'd'),
    },
    'fails 30% under load': {'new': Behaviour(failures=0.3, load_min=3)},
    'slow x2': {'new': Behaviour(slowness=2.0)},
    'slow x3': {'new': Behaviour(slowness=3.0)},
    'slow x4 after 6 s': {'new': Behaviour(slowness=4.0, from_s=6.0)},
    'slow x4 under load': {'new': Behaviour(slowness=4.0, load_min=2)},
}
LARGE_LOADS = {
    'story reads, good': {'entries': 119, 'rate': 263, 'servers': 61},
    'archive reads, good': {
        'entries': 119,
        'rate': 55,
        'servers': 5,
        'work_s': 0.053,
        'loss': 0.2,
    },
    'accession, good': {'entries': 136, 'rate': 27, 'servers': 19},
    'accession, fails 30%': {
        'entries': 136,
        'rate': 27,
        'servers': 19,
        'new': Behaviour(failures=0.3),
        'loss': 0.1,
    },
    'batch, slow x3': {
        'entries': 136,
        'rate': 32,
        'servers': 19,
        'work_s': 0.2,
        'new': Behaviour(slowness=3.0),
    },
    'browse, slow x4 after 5 s': {
        'entries': 136,
        'rate': 236,
        'servers': 104,
        'work_s': 0.16,
        'new': Behaviour(slowness=4.0, from_s=5.0),
    },
}


def play(name, options, seeds):
    """Play one load with several seeds and print a row of the table."""
    outcomes = Counter()
    sends, bad, shares = [], [], []
    for seed in range(seeds):
        world = World(seed=seed, **options)
        world.run(0.5)
        world.give_order()
        world.run(world.order.duration_s)
        world.check_exposure()
        final = list_final(world.store)
        outcomes[str(final[0]) if final else 'none'] += 1
        limit = ROLLOUT.canary_share * world.requests + ROLLOUT.canary_slack
        sends.append(world.canary_sends)
        shares.append(world.canary_sends / limit)
        bad.append(len(world.bad_at))
    text = ', '.join(f'{count} {state}' for state, count in outcomes.items())
    print(
        f'| {name} | {text} | {min(sends)} to {max(sends)} '
        f'| {max(shares):.2f} | {max(bad)} |',
        flush=True,
    )


def main():
    """Play all loads."""
    controller.log_event = lambda event, **fields: None
    seeds = [int(text) for text in sys.argv[1:]] or [20, 4]
    print(
        '| new version | outcomes | canary requests | largest share of '
        'the bound | bad responses at most |\n| --- | --- | --- | --- | --- |'
    )
    for name, options in LOADS.items():
        play(name, options, seeds[0])
    for name, options in LARGE_LOADS.items():
        play(name, options, seeds[-1])


if __name__ == '__main__':
    main()
