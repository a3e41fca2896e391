"""Runs each scenario file with the real programs and checks its properties."""

from pathlib import Path

import pytest

from tests.scenarios.checker import check_history
from tests.scenarios.harness import run_scenario
from tests.scenarios.language import parse_scenario
from tests.scenarios.platform_harness import run_platform_scenario

#: Bound on one run, including startup and shutdown of all processes.
RUN_TIMEOUT_S = 30.0
#: Violations of one kind are much alike; a few are enough to find the cause.
MAX_SHOWN_PER_PROPERTY = 3
_SCENARIO_FILES = sorted(
    (Path(__file__).parent / 'scenarios').glob('*.scenario')
)


@pytest.mark.parametrize('path', _SCENARIO_FILES, ids=lambda path: path.stem)
@pytest.mark.timeout(RUN_TIMEOUT_S + 10)
def test_scenario(path, tmp_path):
    """Guards against the failure that the scenario file names."""
    scenario = parse_scenario(path.read_text())
    run = run_platform_scenario if scenario.on_platform else run_scenario
    history = run(scenario, tmp_path, RUN_TIMEOUT_S)
    violations = check_history(history, scenario.expectations)
    for kind in {violation.kind for violation in violations}:
        same_kind = [item for item in violations if item.kind == kind]
        for violation in same_kind[:MAX_SHOWN_PER_PROPERTY]:
            print(f'{kind} ({len(same_kind)}): {violation.detail}')
    kinds = sorted({violation.kind for violation in violations})
    assert kinds == [], f'{scenario.guards}; output in {tmp_path}'
