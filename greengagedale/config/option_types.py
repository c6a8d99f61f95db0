"""Types of settings options, with their validation.

The name of an option contains its unit, so that a value in another unit is
reported as an unknown key. Bounds are wide: they reject typing errors, and
leave room for tuning.
"""

from typing import Annotated

import pydantic

from greengagedale.config import validators

Name = Annotated[str, pydantic.AfterValidator(validators.validate_name)]
IpAddress = Annotated[
    str, pydantic.AfterValidator(validators.validate_ip_address)
]
Endpoint = Annotated[str, pydantic.AfterValidator(validators.validate_endpoint)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
DurationMs = Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
SizeBytes = Annotated[int, pydantic.Field(ge=1, le=64 * 1024 * 1024)]
Fraction = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
