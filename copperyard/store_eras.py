"""Eras that the metadata store tells in its responses."""

import re
from collections.abc import Iterable
from typing import Final

from copperyard.logs import log_event
from copperyard.metrics import Metrics
from copperyard.server_table import ERA_MAX, is_plausible_era

_ERA: Final = re.compile(rb'[0-9]{1,10}')


class StoreEras:
    """Reads eras, and remembers the highest one.

    :param metrics: counts eras that are invalid.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.newest = 0
        self._metrics = metrics

    def record(self, texts: Iterable[bytes]) -> int | None:
        """Return the era of a response.

        :param texts: values of the header that tells it.
        :returns: 0 if there are none; ``None`` if they are not one number, or
            one far above the highest so far.
        """
        values = set(texts)
        if not values:
            return 0
        text = values.pop()
        is_number = not values and _ERA.fullmatch(text)
        era = int(text) if is_number else ERA_MAX + 1
        if era > ERA_MAX or not is_plausible_era(era, self.newest):
            self._metrics.count('store.era_invalid')
            log_event('store_era_invalid')
            return None
        self.newest = max(self.newest, era)
        return era
