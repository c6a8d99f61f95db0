"""The exceptions that greengagedale raises.

Layers report expected results as tagged outcomes (see `outcomes` and the
`base` module of each adapter package). The exceptions here are for errors
that end a command or a request, and the message of each can be shown to
users unchanged.
"""

from typing import NamedTuple


class FieldError(NamedTuple):
    """One validation error of an input.

    Attributes:
        key: Path of the invalid value, such as `host.caller_port`.
        message: What is wrong with the value and what is accepted.
    """

    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.key}: {self.message}"


class GreengagedaleError(Exception):
    """Base class of all errors that can be shown to users."""


class InvalidInputError(GreengagedaleError):
    """An input has one or more validation errors; all of them are listed."""

    def __init__(self, subject: str, field_errors: list[FieldError]) -> None:
        self.subject = subject
        self.field_errors = field_errors
        lines = "".join(f"\n  {item}" for item in field_errors)
        super().__init__(f"{subject} is not valid:{lines}")


class ConfigError(InvalidInputError):
    """The settings of a process are not valid."""


class UnsafeLoopError(GreengagedaleError):
    """The event loop uses a kernel interface that hosts do not allow."""


class ListenError(GreengagedaleError):
    """A configured address can't be listened on."""


class RemoteError(GreengagedaleError):
    """A host answered a command with an error, or did not answer."""
