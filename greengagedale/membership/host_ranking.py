"""The order in which callers are told to try hosts."""

import random

from greengagedale.membership import messages

MAX_HOSTS = 8
_MIN_REMOTE_HOSTS = 2


def rank(
    statuses: list[messages.PeerStatus],
    data_centre: str | None,
    rng: random.Random,
) -> list[messages.PeerStatus]:
    """Orders hosts, near ones first and idle ones more often first.

    Among hosts of the same nearness the order is random, weighted by load, so
    that callers who ask at the same time do not all go to the same host.

    Args:
        statuses: Hosts that may be used; others are left out here.
        data_centre: Where the caller runs, if it says so.
        rng: Source of the order.

    Returns:
        At most `MOST_HOSTS`, some of them in other data centres if there are
        any, so that the loss of one data centre leaves a host to try.
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
    # Exponential times with rates 1/(1+running): the sooner, the earlier.
    return sorted(
        statuses, key=lambda s: rng.expovariate(1.0) * (1 + s.running)
    )
