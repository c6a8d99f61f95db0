"""Validators of single values that all settings share.

Each returns the value, or raises a `ValueError` that says what is accepted.
"""

import re
import socket

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")


def validate_name(value: str) -> str:
    """Validates a name, such as that of a host or data centre."""
    if not _NAME.fullmatch(value):
        raise ValueError(
            "use 1 to 63 lower-case letters, digits and inner hyphens"
        )
    return value


def validate_ip_address(value: str) -> str:
    """Validates an IP address."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, value)
        except OSError:
            continue
        return value
    raise ValueError("use an IP number, such as 192.0.2.7")


def validate_endpoint(value: str) -> str:
    """Validates an IP address with a port."""
    address, _, port = value.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise ValueError("use an IP number and a port, as in 192.0.2.7:80")
    validate_ip_address(address)
    return value
