"""Decides what may be said of a change whose writes had no clear result."""


class ConditionalUpdates:
    """Follows the conditional updates that were sent for one change.

    An update sent against one version of the catalog can take effect as long
    as the catalog still has that version, however late. Once a newer version
    has been read and does not hold the change, the update is void.
    """

    def __init__(self, first_attempt: bool) -> None:
        """Starts to follow a change.

        Args:
            first_attempt: Nobody has sent this change before.
        """
        self._first_attempt = first_attempt
        self._pending_version: int | None = None

    @property
    def has_pending(self) -> bool:
        """Whether an update sent by this call may yet take effect."""
        return self._pending_version is not None

    def record_sent(self, expected_version: int) -> None:
        """Notes an update whose result isn't known to be final."""
        self._pending_version = max(
            self._pending_version or 0, expected_version
        )

    def record_absent(self, version: int) -> None:
        """Notes that a version of the catalog does not hold the change."""
        if (
            self._pending_version is not None
            and version > self._pending_version
        ):
            self._pending_version = None

    def may_report_not_accepted(self) -> bool:
        """Tells whether a change given up on is certainly not accepted.

        An earlier call with the same id may have left an update open, so only
        the first attempt can tell.
        """
        return self._first_attempt and not self.has_pending
