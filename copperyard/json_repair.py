"""Replaces the values in a JSON text that no decoder here can read."""

import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final, TypeAlias

# No record is nested nearly as deeply. Decoders give up somewhat below a
# thousand levels, depending on the depth of the call.
DEPTH_MAX: Final = 500
# Python converts no longer ones by default.
DIGITS_MAX: Final = 4300

_TOKEN_PATTERN: Final = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"?'
    rb'|(?P<open>[\[{])'
    rb'|(?P<close>[\]}])'
    rb'|-?(?P<digits>[0-9]++)(?:[.eE][0-9.eE+-]*+)?',
    re.DOTALL,
)
_Walked: TypeAlias = tuple[int, int, re.Match[bytes]]
_NULL: Final = b'null'
_DEPTH_STEPS: Final = MappingProxyType({'open': 1, 'close': -1})


def replace_unreadable(content: bytes) -> bytes:
    """Replace values that are nested too deeply and integers that are too long.

    It takes some tenths of a second for a megabyte of brackets.

    :param content: JSON; malformed text stays malformed.
    :returns: the same JSON with ``null`` in their place.
    """
    parts: list[bytes] = []
    position = 0
    for start, end in _find_unreadable(content):
        parts.extend((content[position:start], _NULL))
        position = end
    parts.append(content[position:])
    return b''.join(parts)


def _find_unreadable(content: bytes) -> Iterator[tuple[int, int]]:
    cut_from = 0
    for step, depth, token in _walk(content):
        position = step * depth
        if position == DEPTH_MAX + 1:
            cut_from = token.start()
        if position == -DEPTH_MAX:
            yield cut_from, token.end()
        if _is_long_integer(token, depth):
            yield token.span()


def _walk(content: bytes) -> Iterator[_Walked]:
    """Yield the tokens with the change of depth and the depth after each."""
    depth = 0
    for token in _TOKEN_PATTERN.finditer(content):
        step = _DEPTH_STEPS.get(token.lastgroup or '', 0)
        depth += step
        yield step, depth, token


def _is_long_integer(token: re.Match[bytes], depth: int) -> bool:
    return depth <= DEPTH_MAX and len(token['digits'] or b'') > DIGITS_MAX
