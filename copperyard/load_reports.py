"""What backend servers report of themselves in the headers of responses."""

from typing import Final

from copperyard.entry_board import EntryBoard
from copperyard.header_values import read_leaving, read_load, read_rate_limit
from copperyard.logs import log_event
from copperyard.outcomes import Answered
from copperyard.platform import read_cold_left_s
from copperyard.retry_after import find_retry_after, read_retry_after_s
from copperyard.server_table import KnownServer

LOGGED_CHARACTERS_MAX: Final = 64

_REFUSAL_STATUS: Final = 503


def record_load_report(
    board: EntryBoard, server: KnownServer, text: str
) -> None:
    """Record the load report of a response, unless it is missing or invalid.

    :param board: receives the report.
    :param server: server that sent the response.
    :param text: the report; empty if it is missing.
    """
    sample = read_load(text)
    if sample is not None:
        server_id = server.report.server_id
        board.record_sample(server_id, board.find_load(server), sample)
    elif text:
        _record_malformed(board, server, text)


def record_cold_period(
    board: EntryBoard,
    server: KnownServer,
    headers: tuple[tuple[bytes, bytes], ...],
    sent_at: float,
) -> None:
    """Record how long a server stays cold; an invalid value changes nothing.

    :param board: holds the load of the server.
    :param server: server that responded to a health check.
    :param headers: headers of the response.
    :param sent_at: when the health check was sent, ``CLOCK_BOOTTIME`` in
        seconds.
    """
    cold_left_s = read_cold_left_s(headers)
    if cold_left_s is None:
        _record_malformed(board, server, 'time for which the server is cold')
        return
    board.record_check(server, cold_left_s, sent_at)


def record_rate_limit(
    board: EntryBoard,
    server: KnownServer,
    text: str | None,
    sent_at: float,
) -> None:
    """Record the limit that a response names; an invalid one changes nothing.

    :param board: receives the limit.
    :param server: server that sent the response.
    :param text: the limit; ``None`` if the response names none.
    :param sent_at: when the request was sent, ``CLOCK_BOOTTIME`` in seconds.
    """
    requests_per_s = None if text is None else read_rate_limit(text)
    if text is None or requests_per_s is not None:
        board.record_rate_limit(server, requests_per_s, sent_at)
        return
    board.metrics.count('rate_limit.malformed')
    log_event(
        'rate_limit_malformed',
        server=server.report.server_id,
        detail=text[:LOGGED_CHARACTERS_MAX],
    )


def record_leaving(
    board: EntryBoard, server: KnownServer, text: str | None
) -> None:
    """Record whether a response says that its server is leaving.

    :param board: receives what it says.
    :param server: server that sent the response.
    :param text: what it says; ``None`` if it says nothing.
    """
    if text is None:
        return
    is_leaving = read_leaving(text)
    if is_leaving:
        board.record_leaving(
            server.report.server_id,
            server.report.started_ms,
            board.settings.ip,
        )
    elif is_leaving is None:
        board.metrics.count('leaving.malformed')
        log_event(
            'leaving_malformed',
            server=server.report.server_id,
            detail=text[:LOGGED_CHARACTERS_MAX],
        )


def record_pause(
    board: EntryBoard,
    server: KnownServer,
    pause_s: float | None,
    text: str = '',
) -> None:
    """Record the pause that a server asks for when it refuses a request.

    :param board: receives the pause.
    :param server: server that sent the response.
    :param pause_s: length in seconds; ``None`` if it could not be read.
    :param text: value that could not be read.
    """
    if pause_s is not None:
        board.record_pause(server, pause_s)
        return
    board.metrics.count('pause.malformed')
    log_event(
        'pause_malformed',
        server=server.report.server_id,
        detail=text[:LOGGED_CHARACTERS_MAX],
    )


def record_pause_header(
    board: EntryBoard, server: KnownServer, response: Answered
) -> None:
    """Record the pause that a response without the mark of a refusal asks for.

    :param board: receives the pause.
    :param server: server that sent the response.
    :param response: any response; only the status of a refusal counts.
    """
    if response.status == _REFUSAL_STATUS:
        text = find_retry_after(response.headers)
        record_pause(board, server, read_retry_after_s(text), text)


def _record_malformed(
    board: EntryBoard, server: KnownServer, detail: str
) -> None:
    board.metrics.count('load_report.malformed')
    log_event(
        'load_report_malformed',
        server=server.report.server_id,
        detail=detail[:LOGGED_CHARACTERS_MAX],
    )
