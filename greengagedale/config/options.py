"""Option types of the settings; each checks its own value.

Units are part of an option's name, so a value in other units shows as an
unknown key. Bounds are wide: they catch slips, not tuning.
"""

import ipaddress
import re
from typing import Annotated

import pydantic

_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")


def _check_name(value: str) -> str:
    if not _NAME.fullmatch(value):
        raise ValueError(
            "use 1 to 63 lower-case letters, digits and inner hyphens"
        )
    return value


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("use an IP number, such as 192.0.2.7") from None
    return value


def _check_endpoint(value: str) -> str:
    address, _, port = value.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 1 << 16:
        raise ValueError("use an IP number and a port, as in 192.0.2.7:80")
    _check_ip(address)
    return value


Name = Annotated[str, pydantic.AfterValidator(_check_name)]
IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Endpoint = Annotated[str, pydantic.AfterValidator(_check_endpoint)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
DurationMs = Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
SizeBytes = Annotated[int, pydantic.Field(ge=1, le=64 * 1024 * 1024)]
Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
