"""Load balancer for servers whose load shifts in milliseconds."""

from importlib import import_module
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from copperyard.exceptions import (
        CopperyardError,
        InvariantError,
        LoadHeaderError,
        SettingsError,
    )
    from copperyard.outcomes import (
        Answered,
        NotRun,
        RefusalReason,
        RetryReason,
        Unknown,
        UnknownReason,
    )
    from copperyard.records import (
        BringBackDomain,
        BringBackVm,
        DeclareService,
        RemoveService,
        TakeOutDomain,
        TakeOutVm,
    )
    from copperyard.settings import (
        AgentSettings,
        OperatorSettings,
        ProxySettings,
        load_settings,
    )

__all__ = (
    'AgentSettings',
    'Answered',
    'BringBackDomain',
    'BringBackVm',
    'CopperyardError',
    'DeclareService',
    'InvariantError',
    'LoadHeaderError',
    'NotRun',
    'OperatorSettings',
    'ProxySettings',
    'RefusalReason',
    'RemoveService',
    'RetryReason',
    'SettingsError',
    'TakeOutDomain',
    'TakeOutVm',
    'Unknown',
    'UnknownReason',
    'load_settings',
)
# Imported at their first use: each program starts with what it runs only.
_MODULES: Final = ('exceptions', 'outcomes', 'records', 'settings')


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Import a public name at its first use.

    :param name: one of ``__all__``.
    :raises AttributeError: if it is not public.
    """
    if name in __all__:
        for module_name in _MODULES:
            module = import_module(f'copperyard.{module_name}')
            found = getattr(module, name, None)
            if found is not None:
                return found
    raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
