"""Revisions of the store that stay comparable when the store goes back."""

from typing import NamedTuple


class Revision(NamedTuple):
    """A state of the store; a greater one is newer.

    A store that returns from an older copy gives out revisions again, for other
    content, in a later epoch.

    Attributes:
        epoch: Epoch of the store; 0 if it has no epochs.
        revision: Revision within the epoch; 0 if it is not known.
    """

    epoch: int
    revision: int

    def __bool__(self) -> bool:
        """Returns whether the revision is known."""
        return self.revision > 0

    def confirms(self, full_read: "Revision") -> bool:
        """Returns whether nothing has changed since a full read.

        Args:
            full_read: State in which the data was last read in full; an equal
                revision of another epoch says nothing about it.
        """
        return bool(self) and self == full_read


# Older than any revision that was read.
NO_REVISION = Revision(0, 0)
