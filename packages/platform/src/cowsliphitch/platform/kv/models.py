"""Messages of the key-value service."""

import attrs


@attrs.frozen
class Entry:
    """A stored value.

    :param revision: changes with each write of the key; 0 stands for absent
    """

    key: str
    value: str
    revision: int


@attrs.frozen
class Applied:
    """The write took effect."""

    revision: int


@attrs.frozen
class Conflict:
    """The write did not take effect: the key has another revision."""

    revision: int


@attrs.frozen
class Unknown:
    """No answer: the write may have taken effect, now or later."""

    detail: str


WriteResult = Applied | Conflict | Unknown


@attrs.frozen
class Unavailable:
    """The service gave no answer to a read."""

    detail: str


@attrs.frozen
class Lost:
    """The lease has lapsed."""
