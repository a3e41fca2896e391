"""Refusal of requests under which backend servers have ended."""

from copperyard.crash_suspects import CrashSuspects
from copperyard.logs import log_event
from copperyard.outcomes import NotRun, RefusalReason
from copperyard.request_fingerprints import RequestFingerprints
from copperyard.requests import CallerRequest


def find_quarantine_refusal(
    suspects: CrashSuspects,
    request: CallerRequest,
    fingerprints: RequestFingerprints,
    caller_ip: str,
    now: float,
) -> NotRun | None:
    """Return the refusal of a request that is quarantined, and log it.

    :param suspects: requests under which servers have ended.
    :param request: the request.
    :param fingerprints: its fingerprints.
    :param caller_ip: IP address of its caller.
    :param now: ``CLOCK_BOOTTIME`` in seconds.
    :returns: ``None`` if the request may be sent.
    """
    remaining_s = max(
        suspects.find_quarantine_s(fingerprint, now)
        for fingerprint in fingerprints.all
    )
    if not remaining_s:
        return None
    content = fingerprints.content.hex()
    log_event(
        'request_quarantined',
        request=request.request_id,
        fingerprint=content,
        caller=caller_ip,
        method=request.method,
        path=request.target.partition(b'?')[0].decode('latin-1'),
        remaining_s=round(remaining_s),
    )
    return NotRun(
        RefusalReason.QUARANTINED,
        remaining_s,
        f'servers have ended under requests {content}',
    )
