"""Reading of TOML settings files."""

import pathlib
import tomllib
from typing import Any

from greengagedale import exceptions


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Reads a settings file without validating its values.

    Raises:
        ConfigError: The file can't be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        field_error = exceptions.FieldError("(file)", str(error))
        raise exceptions.ConfigError(str(path), [field_error]) from error
