"""Demonstrate load balancing while a failure domain is taken out and restored.

Run ``python scripts/demo.py``. Four entry VMs serve two services, and two
operators propose and confirm the changes of the domain. The platform
stand-ins, twenty backend servers, four agents and four proxies run as separate
processes on loopback and are stopped at the end. The exit status is 1 if a
guarantee was violated or a caller did not get the complete response to its own
request.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.scenarios.checker import check_history  # noqa: E402
from tests.scenarios.harness import run_scenario  # noqa: E402
from tests.scenarios.history import Call  # noqa: E402
from tests.scenarios.language import parse_scenario  # noqa: E402

TIMEOUT_S = 90.0
SCENARIO = """scenario "Demo"
guards against "a demo that violates a guarantee"
cell
    4 entry VMs in cl-a, cl-b, cl-c, cl-d
    service recordatorios has 12 backend servers in cl-a, cl-b, cl-c, cl-d with 4 slots, 200 connections
    service cobranza has 8 backend servers in cl-a, cl-b, cl-c, cl-d with 4 slots, 200 connections
load for 24s
    16 callers send 260 requests per second to recordatorios, 50% non-idempotent, deadline 2s, work 10ms
    8 callers send 200 requests per second to cobranza, 0% non-idempotent, deadline 2s, work 10ms
timeline
    at 6s operator ana takes out domain cl-a
    at 14s operator luz brings back domain cl-a
expect
    non-idempotent requests run at most once
    refusals that say not run are true
    each caller gets the complete answer to its own request
    cold backend servers get no more than their cold allowance
    probes stay within their budget
    domain cl-a gets no new work
    changes are in force everywhere
    configuration never reverts
    refusals come at once
"""  # noqa: E501


def main() -> int:
    """Run the demo and print outcomes, latencies and violated guarantees.

    :returns: exit status.
    """
    scenario = parse_scenario(SCENARIO)
    print('starting 4 entry VMs, 20 backend servers, log and VM list services')
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as work_dir:
        history = run_scenario(scenario, Path(work_dir), TIMEOUT_S)
    calls = [event for event in history.events if isinstance(event, Call)]
    outcomes = Counter((call.outcome, call.reason) for call in calls)
    latencies = sorted(call.ended_at - call.sent_at for call in calls)
    print(f'{len(calls)} requests in {time.monotonic() - started:.0f} s')
    for (outcome, reason), count in outcomes.most_common():
        print(f'  {outcome} {reason}: {count}')
    for quantile in (0.5, 0.99, 0.999):
        latency = latencies[int(len(latencies) * quantile)]
        print(f'  p{quantile * 100:g}: {latency * 1000:.1f} ms')
    violations = check_history(history, scenario.expectations)
    for violation in violations[:10]:
        print(f'  VIOLATED {violation.kind}: {violation.detail}')
    print('guarantees checked:', 'violated' if violations else 'all held')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
