"""Option types of the settings; each checks its own value.

Units are part of an option's name, so a value in other units shows as an
unknown key. Bounds are wide: they catch slips, not tuning.
"""

from typing import Annotated

import pydantic

from greengagedale.config import validators

Name = Annotated[str, pydantic.AfterValidator(validators.name)]
IpAddress = Annotated[
    str, pydantic.AfterValidator(validators.validate_ip_address)
]
Endpoint = Annotated[str, pydantic.AfterValidator(validators.endpoint)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
DurationMs = Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
SizeBytes = Annotated[int, pydantic.Field(ge=1, le=64 * 1024 * 1024)]
Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
