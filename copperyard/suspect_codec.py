"""Conversion between messages about suspected requests and their crashes."""

from collections.abc import Iterable, Iterator
from typing import Final

from copperyard.clock import MILLISECONDS_PER_S
from copperyard.crash_suspects import (
    CRASHES_KEPT,
    SERVER_KEY_BYTES,
    Crash,
    CrashSuspects,
)
from copperyard.messages_pb2 import CrashInfo, SuspectInfo
from copperyard.request_fingerprints import FINGERPRINT_BYTES

# Requests in one message; bounds its size.
LISTED_SUSPECTS: Final = 12


def encode_suspects(suspects: CrashSuspects, now: float) -> list[SuspectInfo]:
    """Return the messages about the requests with the most crashes.

    :param suspects: requests under which servers have ended.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    """
    return [
        SuspectInfo(
            fingerprint=fingerprint,
            answered_age_ms=_encode_answered_age(
                suspect.find_recent_answer_age(now)
            ),
            crashes=[
                CrashInfo(
                    server_key=server_key,
                    sent_age_ms=_encode_age(now - crash.sent_at),
                    ended_age_ms=_encode_age(now - crash.ended_at),
                )
                for server_key, crash in suspect.crashes_by_key.items()
            ],
        )
        for fingerprint, suspect in suspects.list_most_suspected(
            LISTED_SUSPECTS, now
        )
    ]


def merge_suspects(
    suspects: CrashSuspects, messages: Iterable[SuspectInfo], now: float
) -> bool:
    """Add what another process knows of suspected requests.

    Messages with keys of another length are left out.

    :param suspects: receives crashes and answers.
    :param messages: messages of the other process.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: whether a crash was not known yet.
    """
    has_new = False
    for message in messages:
        if len(message.fingerprint) != FINGERPRINT_BYTES:
            continue
        if message.answered_age_ms >= 0:
            answered_age_s = message.answered_age_ms / MILLISECONDS_PER_S
            suspects.record_answer(message.fingerprint, now - answered_age_s)
        for server_key, crash in _decode_crashes(message, now):
            if suspects.record_crash(message.fingerprint, server_key, crash):
                has_new = True
    return has_new


def _decode_crashes(
    message: SuspectInfo, now: float
) -> Iterator[tuple[bytes, Crash]]:
    for crash in message.crashes[:CRASHES_KEPT]:
        if len(crash.server_key) == SERVER_KEY_BYTES:
            sent_at = now - crash.sent_age_ms / MILLISECONDS_PER_S
            ended_at = now - crash.ended_age_ms / MILLISECONDS_PER_S
            yield crash.server_key, Crash(sent_at, ended_at)


def _encode_age(age_s: float) -> int:
    return max(0, round(age_s * MILLISECONDS_PER_S))


def _encode_answered_age(age_s: float | None) -> int:
    return -1 if age_s is None else _encode_age(age_s)
