"""Listings of the operator's records in snapshots of other entries."""

from copperyard.entry_messages import Snapshot
from copperyard.known_eras import KnownEra
from copperyard.metadata_store import OperatorRecord
from copperyard.operator_record_set import RecordListing


def build_listing(snapshot: Snapshot) -> RecordListing:
    """Return what another entry has of the operator's records.

    :param snapshot: the snapshot.
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
