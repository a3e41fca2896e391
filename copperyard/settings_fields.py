"""Reads typed fields of a settings file; keeps the first error."""

import tomllib
from pathlib import Path
from typing import Any, Final, TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

from copperyard.exceptions import SettingsError
from copperyard.settings import is_address, is_ipv4

# Longest part of an invalid value in an error message.
_DESCRIPTION_LENGTH_MAX: Final = 100

_Value = TypeVar('_Value')


def load_toml(path: Path) -> Result[dict[str, Any], SettingsError]:
    """Read and parse a settings file.

    :param path: TOML file.
    :returns: its content, or why it cannot be read.
    """
    try:
        return Success(tomllib.loads(path.read_text()))
    except OSError as error:
        return Failure(SettingsError('$', 'a readable file', str(error)))
    except (ValueError, RecursionError) as error:
        return Failure(SettingsError('$', 'valid TOML', str(error)))


class FieldReader:
    """Reads single fields and keeps the first error.

    :param raw: the parsed settings file.
    """

    def __init__(self, raw: dict[str, Any]) -> None:
        self.error: SettingsError | None = None
        self._raw = raw

    def has(self, path: str) -> bool:
        """Return whether a field is present.

        :param path: keys, separated by dots.
        """
        return self._find(path) is not None

    def read(self, path: str, value_type: Any, default: _Value) -> _Value:
        """Return a field.

        :param path: keys, separated by dots.
        :param value_type: type that ``msgspec`` checks.
        :param default: result if the field is missing or invalid.
        """
        found = self._find(path)
        try:
            return cast(_Value, msgspec.convert(found, value_type))
        except msgspec.ValidationError as error:
            expected = str(error).partition(', got ')[0].replace('`', '')
            self._keep_error(path, expected, found)
            return default

    def read_ip(self, path: str) -> str:
        """Return an IPv4 address.

        :param path: keys, separated by dots.
        """
        ip = self.read(path, str, '')
        if not is_ipv4(ip):
            self._keep_error(path, 'IPv4 address', ip)
        return ip

    def read_address(self, path: str) -> str:
        """Return an address of the form ``ip:port``.

        :param path: keys, separated by dots.
        """
        address = self.read(path, str, '')
        if not is_address(address):
            self._keep_error(path, 'ip:port', address)
        return address

    def _find(self, path: str) -> Any:
        found: Any = self._raw
        for key in path.split('.'):
            found = found.get(key) if isinstance(found, dict) else None
        return found

    def _keep_error(self, path: str, expected: str, found: object) -> None:
        if self.error is None:
            self.error = SettingsError(
                path, expected.removeprefix('Expected '), _describe(found)
            )


def _describe(found: object) -> str:
    try:
        return repr(found)[:_DESCRIPTION_LENGTH_MAX]
    except ValueError:
        # Integers of thousands of digits cannot be converted to decimal.
        return type(found).__name__
