"""Proof that the configuration in force on a host is current.

Where revoked keys must be refused within a bound on every host, also on hosts
that are cut off, frozen or restarted, a host serves requests with keys only as
long as it can prove that its configuration is recent enough. The proof is the
latest time, by the clock of this host, as of which the configuration in force
here included everything that the store had acknowledged. It comes from two
sources:

- a linearizable read of the configuration, which proves the time before the
  read was sent;
- a peer's answer to a request of this host, which proves the time before the
  request was sent, less the age that the peer's own proof had when it answered.

The time at which something arrives proves nothing, as messages can be delayed
for as long as a network or a frozen process likes.
"""

import logging
import math
from typing import NamedTuple

from greengagedale import clocks
from greengagedale.gateway import metrics as metrics_lib

log = logging.getLogger(__name__)

# The proof expires this long before the bound, for differences in the rates of
# the hosts' clocks and for the time between the check and the send.
MARGIN_MS = 50.0
# Time without new proofs after the store has lost changes. Operators write lost
# configurations again within that time; until then the newest one in the store
# may lack a revocation that was acknowledged.
REWRITE_GRACE_MS = 2000.0
_NEVER_MS = float("-inf")


class Proof(NamedTuple):
    """A host's proof, as passed on in an answer to a peer.

    Attributes:
        version: Version of the configuration in force.
        age_ms: Age of the proof when the answer was made, rounded up.
    """

    version: int
    age_ms: int


class Freshness:
    """Tells whether the configuration in force is proved to be recent.

    Attributes:
        bound_ms: Maximum age of the proof; None if no proof is required.
    """

    def __init__(
        self,
        bound_ms: float | None,
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Makes the proof of a new process, which has proved nothing yet.

        Args:
            bound_ms: Time after which a revoked key must be refused; None if
                hosts that are cut off may accept it for longer.
            clock: Clock that counts the time spent in suspend.
            metrics: Metrics of the process.
        """
        self.bound_ms = bound_ms
        self._clock = clock
        self._metrics = metrics
        self._as_of_ms = _NEVER_MS
        self._ignored_until_ms = _NEVER_MS
        self._was_proven = False

    @property
    def is_required(self) -> bool:
        """Whether requests with keys are only served with a recent proof."""
        return self.bound_ms is not None

    @property
    def age_ms(self) -> float:
        """Age of the proof in ms; infinity if there is none."""
        return self._clock.now_ms() - self._as_of_ms

    @property
    def known_age_ms(self) -> int | None:
        """Age of the proof in whole ms; None if there is none."""
        age_ms = self.age_ms
        return round(age_ms) if math.isfinite(age_ms) else None

    def is_proven(self) -> bool:
        """Returns whether requests with keys may be served now.

        This holds for requests that arrive now, and for those that arrived
        earlier and are sent to an upstream now.
        """
        if self.bound_ms is None:
            return True
        age_ms = self.age_ms
        is_proven = age_ms <= self.bound_ms - MARGIN_MS
        if is_proven != self._was_proven:
            self._was_proven = is_proven
            self._record_change(is_proven)
        return is_proven

    def confirm(self, as_of_ms: float) -> None:
        """Records that the configuration in force was current at a time.

        Args:
            as_of_ms: Time before the read or request that shows it was sent.
        """
        if self._clock.now_ms() >= self._ignored_until_ms:
            self._as_of_ms = max(self._as_of_ms, as_of_ms)

    def confirm_from_peer(
        self, proof: Proof, version: int, sent_ms: float
    ) -> None:
        """Records the proof in a peer's answer to a request of this host.

        Args:
            proof: The peer's proof.
            version: Version of the configuration in force on this host.
            sent_ms: Time before the request was sent.
        """
        if version >= proof.version and proof.age_ms >= 0:
            self.confirm(sent_ms - proof.age_ms)

    def proof(self, version: int) -> Proof | None:
        """Returns the proof to pass on; None if there is no valid one.

        Args:
            version: Version of the configuration in force on this host.
        """
        if not self.is_required or not self.is_proven():
            return None
        return Proof(version, math.ceil(self.age_ms))

    def record_rollback(self) -> None:
        """Records that the store has lost changes that it acknowledged."""
        if not self.is_required:
            return
        self._ignored_until_ms = self._clock.now_ms() + REWRITE_GRACE_MS
        log.warning(
            "store lost acknowledged changes; ignoring its answers for a while",
            extra={
                "for_ms": REWRITE_GRACE_MS,
                "proof_age_ms": self.known_age_ms,
            },
        )

    def _record_change(self, is_proven: bool) -> None:
        what = "gained" if is_proven else "lost"
        self._metrics.proof_changes.inc(what)
        log.log(
            logging.INFO if is_proven else logging.WARNING,
            f"configuration proof {what}",
            extra={
                "proof_age_ms": self.known_age_ms,
                "bound_ms": self.bound_ms,
            },
        )
