"""Orders the hosts that a locate answer offers to a caller."""

import random

from greengagedale.membership import messages

MAX_HOSTS = 8
_MIN_REMOTE_HOSTS = 2


def rank(
    statuses: list[messages.PeerStatus],
    data_centre: str | None,
    rng: random.Random,
) -> list[messages.PeerStatus]:
    """Orders hosts for a caller: its own data centre first, then by load.

    Local hosts precede remote ones. Within each group the order is random and
    favours hosts with a low load, so that callers who ask at the same time do
    not all go to the same host.

    Args:
        statuses: Statuses of the hosts to choose from. Hosts that are leaving
            or not ready are left out.
        data_centre: Data centre of the caller, if it is known.
        rng: Source of randomness.

    Returns:
        At most `MAX_HOSTS` hosts. Some of them are in other data centres, if
        there are any, so that the caller has a host to try after the loss of
        one data centre.
    """
    serving = [s for s in statuses if s.ready and not s.leaving]
    local = [s for s in serving if s.data_centre == data_centre]
    remote = [s for s in serving if s.data_centre != data_centre]
    reserved_remote = min(_MIN_REMOTE_HOSTS, len(remote))
    first = _shuffled_by_load(local, rng)[: MAX_HOSTS - reserved_remote]
    return [*first, *_shuffled_by_load(remote, rng)[: MAX_HOSTS - len(first)]]


def _shuffled_by_load(
    statuses: list[messages.PeerStatus], rng: random.Random
) -> list[messages.PeerStatus]:
    # Sorts by exponentially distributed samples with rate 1 / (1 + running).
    return sorted(
        statuses, key=lambda s: rng.expovariate(1.0) * (1 + s.running)
    )
