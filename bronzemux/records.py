"""Data classes whose generic methods are shared instead of generated.

`dataclasses` compiles the source of each method of each class when a module is imported. A gateway
has a hundred data classes, and a VM may have a tenth of a core to start with.
"""

import dataclasses
import operator
import typing


def _equal(self, other) -> bool:
    if other.__class__ is not self.__class__:
        return NotImplemented
    return self.values_of(self) == self.values_of(other)


def _hash(self) -> int:
    return hash(self.values_of(self))


def _repr(self) -> str:
    pairs = (f"{field.name}={getattr(self, field.name)!r}" for field in dataclasses.fields(self))
    return f"{type(self).__qualname__}({', '.join(pairs)})"


@typing.dataclass_transform(frozen_default=True, field_specifiers=(dataclasses.field,))
def record(cls: type) -> type:
    """Make a class a frozen data class; a decorator.

    It behaves like `dataclasses.dataclass(frozen=True)`: instances are printed by their fields, and
    compared and hashed by those without `compare=False`.

    Args:
      cls: The class.
    """
    cls = dataclasses.dataclass(frozen=True, eq=False, repr=False)(cls)
    names = [field.name for field in dataclasses.fields(cls) if field.compare]
    # With fewer than two names, `attrgetter` does not return a tuple.
    getter = operator.attrgetter(*names) if names else lambda self: ()
    cls.values_of = staticmethod(getter)
    cls.__eq__, cls.__hash__, cls.__repr__ = _equal, _hash, _repr
    return cls


@typing.dataclass_transform(eq_default=False, field_specifiers=(dataclasses.field,))
def state(cls: type) -> type:
    """Make a class a data class whose instances change, and are compared by identity; a decorator.

    Args:
      cls: The class.
    """
    cls = dataclasses.dataclass(eq=False, repr=False)(cls)
    cls.__repr__ = _repr
    return cls
