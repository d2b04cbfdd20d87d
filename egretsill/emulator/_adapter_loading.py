"""Loading of an adapter by name, so that the emulator doesn't depend on a platform."""

from __future__ import annotations

import importlib

from ._adapter import Adapter

DEFAULT_ADAPTER = "egretsill_platform.emulation:make_adapter"


class AdapterUnavailable(Exception):
    """An adapter can't be loaded.

    Attributes:
        name: name of the adapter, as MODULE:FUNCTION.
        problem: reason for the failure.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"adapter {name}: {problem}")
        self.name = name
        self.problem = problem


def load_adapter(name: str = DEFAULT_ADAPTER) -> Adapter:
    """Import an adapter factory by name and return the adapter that it creates.

    Args:
        name: MODULE:FUNCTION; the module must be on Python's path.

    Raises:
        AdapterUnavailable: if there is no such function.
    """
    module_name, separator, function_name = name.partition(":")
    if not separator:
        raise AdapterUnavailable(name, "MODULE:FUNCTION is expected")
    try:
        make = getattr(importlib.import_module(module_name), function_name)
    except (ImportError, AttributeError) as error:
        raise AdapterUnavailable(name, str(error)) from error
    adapter: Adapter = make()
    return adapter
