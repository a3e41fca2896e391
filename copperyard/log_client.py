"""HTTP client of the platform's log service."""

import json
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Annotated, Any, Final, TypeAlias

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from copperyard.clock import MILLISECONDS_PER_S, seconds_since_boot
from copperyard.json_repair import replace_unreadable
from copperyard.platform_http import PlatformHttpClient

# Initial and minimum time that a response may take beyond the long-polling
# time. Each timeout doubles the time, up to ``MAX_TIMEOUT_S``: with a fixed
# 2 s, a log that takes 3 s per response could not be read at all, and with a
# fixed 16 s a dead connection would be detected too late.
MIN_TIMEOUT_S: Final = 2.0
MAX_TIMEOUT_S: Final = 16.0

# Agents exchange offsets as 64-bit integers.
_Offset: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=2**62)]

# Errors raised before the request was sent, so that it had no effect.
_NOT_SENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """One record of a stream.

    :param offset: position of the record in the stream.
    :param body: decoded JSON as stored on the log, not validated yet.
    """

    offset: _Offset
    body: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Consecutive records of a stream.

    :param first: oldest retained offset.
    :param end: offset that the next append will get.
    :param records: records in ascending order of their offsets, may be empty.
    """

    first: _Offset
    end: _Offset
    records: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RecordsExpired:
    """The requested offset is no longer retained.

    :param first: oldest retained offset.
    """

    first: int


@dataclass(frozen=True, slots=True)
class LimitReached:
    """The append was rejected by the log's rate limit; it had no effect."""


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """A read failed, or an append certainly had no effect.

    :param detail: description of the error.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class AppendUnconfirmed:
    """The append may or may not have taken effect.

    :param detail: description of the error.
    """

    detail: str


LogError: TypeAlias = (
    RecordsExpired | LimitReached | LogUnavailable | AppendUnconfirmed
)


class LogClient:
    """Reads and appends records. Failures are returned, not raised.

    :param base_url: base URL of the log service.
    :param transport: httpx transport; a default one is created if absent.
    """

    def __init__(
        self,
        base_url: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._timeout_s = MIN_TIMEOUT_S
        self._http = PlatformHttpClient(base_url, transport)

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
    ) -> Result[Batch, LogError]:
        """Read records of a stream.

        :param stream: name of the stream.
        :param from_offset: first offset to read.
        :param limit: maximum number of records to return.
        :param wait_s: seconds that the log may wait for new records.
        :returns: the batch, or why the read failed.
        """
        wait_ms = round(wait_s * MILLISECONDS_PER_S)
        query = f'from={from_offset}&limit={limit}&wait_ms={wait_ms}'
        started = seconds_since_boot()
        try:
            response = await self._http.call(
                'GET',
                f'/streams/{stream}/records?{query}',
                self._timeout_s + wait_s,
            )
        except httpx.HTTPError as error:
            self._adapt_timeout_to_error(error)
            return Failure(LogUnavailable(_describe(error)))
        self._adapt_timeout_to_duration(seconds_since_boot() - started - wait_s)
        return await _decode_batch(response)

    async def append(
        self,
        stream: str,
        body: dict[str, Any],
    ) -> Result[int, LogError]:
        """Append a record.

        A status 503 leaves the outcome unknown: it does not show whether the
        service failed before or after the append. Reading the stream does.

        :param stream: name of the stream.
        :param body: encoded record.
        :returns: the record's offset, or why it is not known.
        """
        started = seconds_since_boot()
        try:
            response = await self._http.call(
                'POST',
                f'/streams/{stream}/records',
                self._timeout_s,
                json={'body': body},
            )
        except _NOT_SENT_ERRORS as error:
            return Failure(LogUnavailable(_describe(error)))
        except httpx.HTTPError as error:
            self._adapt_timeout_to_error(error)
            return Failure(AppendUnconfirmed(_describe(error)))
        self._adapt_timeout_to_duration(seconds_since_boot() - started)
        return _decode_appended_offset(response)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    def _adapt_timeout_to_error(self, error: httpx.HTTPError) -> None:
        if isinstance(error, httpx.ReadTimeout):
            self._timeout_s = min(self._timeout_s * 2, MAX_TIMEOUT_S)

    def _adapt_timeout_to_duration(self, duration_s: float) -> None:
        """Reduce the timeout again when the log responds faster."""
        self._timeout_s = min(
            max(duration_s * 2, MIN_TIMEOUT_S),
            MAX_TIMEOUT_S,
        )


def _describe(error: httpx.HTTPError) -> str:
    return f'{type(error).__name__}: {error}'


async def _decode_batch(response: httpx.Response) -> Result[Batch, LogError]:
    if response.status_code == HTTPStatus.GONE:
        return (
            _decode(response, _FirstOffset)
            .map(
                lambda expired: expired.first,
            )
            .bind(lambda first: Failure(RecordsExpired(first)))
        )
    if response.status_code != HTTPStatus.OK:
        return Failure(
            LogUnavailable(
                f'read: expected status 200, got {response.status_code}'
            )
        )
    decoded = _decode(response, Batch)
    if isinstance(decoded, Success):
        return decoded
    # The repair would hold up everything else for too long.
    return await anyio.to_thread.run_sync(_decode_damaged_batch, response)


def _decode_damaged_batch(response: httpx.Response) -> Result[Batch, LogError]:
    """Decode a batch that contains records msgspec cannot decode.

    Lone surrogates and ``NaN`` make the whole response unreadable for
    msgspec, and the stream could not be read past such a record. Its body
    becomes ``None``, which every node skips as damaged. The same holds for
    values that are nested too deeply and for integers that are too long; what
    is left of such a record is decoded like any other.
    """
    content = replace_unreadable(response.content)
    try:
        batch = msgspec.convert(json.loads(content), Batch)
    except (ValueError, RecursionError) as error:
        return Failure(LogUnavailable(f'malformed batch in response: {error}'))
    records = tuple(map(_replace_damaged_body, batch.records))
    return Success(replace(batch, records=records))


def _replace_damaged_body(entry: LogEntry) -> LogEntry:
    try:
        json.dumps(entry.body, ensure_ascii=False, allow_nan=False).encode()
    except (ValueError, RecursionError):
        return replace(entry, body=None)
    return entry


def _decode_appended_offset(response: httpx.Response) -> Result[int, LogError]:
    if response.status_code == HTTPStatus.TOO_MANY_REQUESTS:
        return Failure(LimitReached())
    if response.status_code != HTTPStatus.OK:
        return Failure(
            AppendUnconfirmed(
                f'append: expected status 200, got {response.status_code}'
            )
        )
    return (
        _decode(response, _AppendedOffset)
        .map(lambda appended: appended.offset)
        .lash(lambda error: Failure(AppendUnconfirmed(str(error))))
    )


class _FirstOffset(msgspec.Struct):
    first: _Offset


class _AppendedOffset(msgspec.Struct):
    offset: _Offset


def _decode(response: httpx.Response, kind: type[Any]) -> Result[Any, LogError]:
    try:
        return Success(msgspec.json.decode(response.content, type=kind))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Failure(LogUnavailable(f'malformed response: {error}'))
