"""Counts of the outcomes of attempts that are told to other entries."""

from collections.abc import Mapping

from copperyard.entry_messages import OutcomeCounts


def count_outcomes(
    outcomes: Mapping[tuple[str, bool], int],
) -> tuple[OutcomeCounts, ...]:
    """Return the successes and failures of each server.

    :param outcomes: attempts by server and whether they succeeded.
    """
    server_ids = {server_id for server_id, _ in outcomes}
    return tuple(
        OutcomeCounts(
            server_id,
            successes=outcomes.get((server_id, True), 0),
            failures=outcomes.get((server_id, False), 0),
        )
        for server_id in server_ids
    )
