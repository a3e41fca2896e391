"""Lists the operator's records that another entry has sent."""

from dataclasses import dataclass

from copperyard.entry_messages import Snapshot
from copperyard.known_eras import KnownEra
from copperyard.metadata_store import OperatorRecord
from copperyard.operator_record_set import RecordListing


@dataclass(frozen=True, slots=True)
class LostRecordsComparison:
    """Two entries that keep different records that the store has lost.

    :param ip: IP address of the other entry.
    :param own_digest: digest of the records that this entry keeps.
    :param other_digest: digest of those that the other one keeps.
    """

    ip: str
    own_digest: int
    other_digest: int


def build_listing(snapshot: Snapshot) -> RecordListing:
    """Return what another entry has of the operator's records.

    :param snapshot: the received snapshot.
    """
    kept_names = frozenset(snapshot.kept_names)
    disputed_by_name = {
        record.name: record for record in snapshot.disputed_records
    }
    listed_by_name = dict(disputed_by_name)
    told_by_name: dict[str, OperatorRecord] = {}
    for record in snapshot.operator_records:
        is_listed = (
            record.name not in kept_names
            and record.era == snapshot.operator_era
        )
        by_name = listed_by_name if is_listed else told_by_name
        by_name[record.name] = record
    return RecordListing(
        era=snapshot.operator_era,
        end=snapshot.operator_end,
        listed_by_name=listed_by_name,
        told_by_name=told_by_name,
        disputed_by_name=disputed_by_name,
        known_eras=snapshot.known_eras
        or (
            # Builds of formats 1 tell no eras.
            KnownEra(snapshot.operator_era, snapshot.kept_age_s),
        ),
    )
