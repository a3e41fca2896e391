"""Exception classes of the package."""


class CopperyardError(Exception):
    """Base class of the package's exceptions."""


class SettingsError(CopperyardError):
    """A settings file is invalid.

    :param path: dotted path of the invalid key, ``'$'`` for the whole file.
    :param expected: description of a valid value.
    :param got: the value found.
    """

    def __init__(self, path: str, expected: str, got: str) -> None:
        super().__init__(f'{path}: expected {expected}, got {got}')
        self.path = path
        self.expected = expected
        self.got = got


class LoadHeaderError(CopperyardError):
    """A load report of a backend server is invalid.

    :param field: the invalid field, ``'header'`` for the whole report.
    :param expected: description of a valid value.
    :param got: the value found, shortened for logging.
    """

    def __init__(self, field: str, expected: str, got: str) -> None:
        super().__init__(f'{field}: expected {expected}, got {got!r}')
        self.field = field
        self.expected = expected
        self.got = got


class InvariantError(CopperyardError):
    """An internal invariant is violated.

    The process must stop, unless the invariant concerns only the work inside
    a ``FaultBarrier``.
    """
