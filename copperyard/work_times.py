"""How long the requests of a route usually work."""

from typing import Final

# A route's target latency usually leaves room for that many times its work; it
# counts like this many answers until there are more.
TARGET_PER_WORK: Final = 2.5
ASSUMED_ANSWERS: Final = 10
# Work rarely takes longer than that many times its usual time.
OVERDUE_FACTOR: Final = 2.5
# Weight of one answer in the smoothed time; about the last hundred count.
ANSWER_WEIGHT: Final = 0.02
# Work on a server at its usual pace is always acceptable, also for a target
# latency that is shorter than the usual time.
USUAL_PACE: Final = 1.3


class WorkTime:
    """Smoothed time of a route's answers, without the servers' slowness.

    :param target_s: target latency of the route.
    """

    def __init__(self, target_s: float) -> None:
        self._work_s = target_s / TARGET_PER_WORK
        self._answers = ASSUMED_ANSWERS

    def record(self, work_s: float) -> None:
        """Learn from one answer of a server that was not nearly full.

        :param work_s: time of the answer, divided by the server's slowness.
        """
        self._answers += 1
        weight = max(ANSWER_WEIGHT, 1 / self._answers)
        self._work_s += weight * (work_s - self._work_s)

    def is_overdue(self, waited_s: float, slowness: float) -> bool:
        """Return whether an answer takes longer than noise explains.

        :param waited_s: time since the request was sent.
        :param slowness: of the server, when it was sent.
        """
        return waited_s > OVERDUE_FACTOR * self._work_s * max(1.0, slowness)

    def find_slowness_max(self, target_s: float) -> float:
        """Return up to which slowness an answer is expected in time.

        :param target_s: target latency of the route.
        :returns: slowness, 1 for the usual pace.
        """
        return max(USUAL_PACE, target_s / self._work_s)
