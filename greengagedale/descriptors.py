"""Descriptors of the process: their limit, and failures for lack of them."""

import errno
import resource

_SHORTAGES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


def limit(configured: int) -> int:
    """Returns how many descriptors the process may have open.

    Args:
        configured: The number according to the settings.

    Returns:
        That number, or the limit of the operating system if it is lower.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return (
        configured if soft == resource.RLIM_INFINITY else min(configured, soft)
    )


def is_shortage(error: OSError) -> bool:
    """Returns whether a connection failed for lack of own resources.

    Such a failure says nothing about the other side.
    """
    return error.errno in _SHORTAGES
