"""Registries of the implementations that the configuration selects by name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from linkspan.errors import InvalidInput

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")
MakerT = TypeVar("MakerT", bound="Callable[[], object]")


class Registry(Generic[T]):
    """Factories of one kind of object, by their names in the configuration.

    Args:
        section: Section of the configuration that selects them.

    Example:
        >>> numbers: Registry[int] = Registry("numbers")
        >>> @numbers.register("one")
        ... def _one() -> int:
        ...     return 1
        >>> numbers.make("one"), numbers.names()
        (1, ['one'])
    """

    def __init__(self, section: str) -> None:
        self._section = section
        self._factories: dict[str, Callable[[], T]] = {}

    def __repr__(self) -> str:
        return f"Registry({self._section!r}, {self.names()})"

    def register(self, name: str) -> Callable[[MakerT], MakerT]:
        """Return a decorator that registers a factory under a name."""

        def add(factory: MakerT) -> MakerT:
            self._factories[name] = factory  # type: ignore[assignment]
            return factory

        return add

    def names(self) -> list[str]:
        """Return the registered names in order."""
        return sorted(self._factories)

    def make(self, name: str) -> T:
        """Create an object with the factory registered under a name.

        Raises:
            InvalidInput: No factory is registered under the name.
        """
        factory = self._factories.get(name)
        if factory is None:
            raise InvalidInput(self._section, f"no {name!r}", f"use one of {self.names()}")
        return factory()
