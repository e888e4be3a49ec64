"""Positions in the history of the platform's key-value store.

The store may come back from an older copy.  It then gives revision numbers and lease
identifiers out again, and names a higher era in its answers.
"""

from typing import Final

import attrs

# Bits of a fencing token below its era.
_NUMBER_BITS: Final = 40

# Era of a store that has never come back from a copy.
FIRST_ERA: Final = 1


@attrs.frozen(order=True)
class Revision:
    """A revision of the store.

    Revisions are ordered by era first: a number of an earlier era says nothing about
    what the store holds now.

    :param era: number of times that the store came back from a copy
    :param number: number of the change within the store's history
    """

    era: int
    number: int

    @property
    def fencing_token(self) -> int:
        """Return a number that is higher for each later revision, in all eras."""
        return (self.era << _NUMBER_BITS) | self.number


# Revision of a key that does not exist, in any era.
NO_REVISION: Final = Revision(0, 0)


@attrs.frozen
class LeaseRef:
    """A lease of the store.

    :param id: identifier; those of later leases may be lower
    :param era: era in which it was granted; it doesn't outlive it for certain
    """

    id: int
    era: int
