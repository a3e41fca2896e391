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
# Modules of the public names, imported lazily so that each program loads only
# the modules it uses.
_PUBLIC_MODULES: Final = ('exceptions', 'outcomes', 'records', 'settings')


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Import a public name when it is first accessed.

    :param name: name of the attribute.
    :raises AttributeError: if the name is not in ``__all__``.
    """
    if name in __all__:
        for module_name in _PUBLIC_MODULES:
            module = import_module(f'copperyard.{module_name}')
            found = getattr(module, name, None)
            if found is not None:
                return found
    raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
