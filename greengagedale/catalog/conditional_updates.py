"""Tracking of conditional updates whose result is unknown."""


class ConditionalUpdates:
    """Tracks the conditional updates that were sent for one change.

    An update sent for one version of the catalog can take effect as long as
    the catalog still has that version, however late. Once a newer version has
    been read that does not contain the change, the update can no longer take
    effect.
    """

    def __init__(self, first_attempt: bool) -> None:
        """Initializes the tracker.

        Args:
            first_attempt: Whether no one has sent this change before.
        """
        self._first_attempt = first_attempt
        self._pending_version: int | None = None

    @property
    def has_pending(self) -> bool:
        """Whether an update sent by this call may still take effect."""
        return self._pending_version is not None

    def record_sent(self, expected_version: int) -> None:
        """Records an update whose final result is unknown."""
        self._pending_version = max(
            self._pending_version or 0, expected_version
        )

    def record_absent(self, version: int) -> None:
        """Records that a version of the catalog does not contain the change."""
        if (
            self._pending_version is not None
            and version > self._pending_version
        ):
            self._pending_version = None

    def may_report_not_accepted(self) -> bool:
        """Returns whether the change certainly was not and won't be accepted.

        An update of an earlier call with the same id may still be pending, so
        the answer is only positive for the first attempt.
        """
        return self._first_attempt and not self.has_pending
