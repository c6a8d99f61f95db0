"""The family of errors that greengagedale raises.

Layers report expected results as tagged outcomes (see `outcomes` and the
`base` module of each adapter package). The exceptions here are for mistakes
that end a command or a request, and each can be shown to a person as it is.
"""

from typing import NamedTuple


class FieldError(NamedTuple):
    """One thing wrong with an input.

    Attributes:
        key: Path of the offending value, such as `host.caller_port`.
        message: What is wrong with it and what is accepted.
    """

    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.key}: {self.message}"


class GreengagedaleError(Exception):
    """Base of all errors that can be shown to a person."""


class InvalidInputError(GreengagedaleError):
    """An input has one or more mistakes, all of which are listed."""

    def __init__(self, subject: str, field_errors: list[FieldError]) -> None:
        self.subject = subject
        self.field_errors = field_errors
        lines = "".join(f"\n  {mistake}" for mistake in field_errors)
        super().__init__(f"{subject} is not valid:{lines}")


class ConfigError(InvalidInputError):
    """The settings of a process have mistakes."""


class UnsafeLoopError(GreengagedaleError):
    """The event loop opened a kernel interface that hosts do not allow."""


class ListenError(GreengagedaleError):
    """An address that the settings name can't be listened on."""


class RemoteError(GreengagedaleError):
    """A host answered a command with an error, or did not answer."""
