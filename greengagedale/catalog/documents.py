"""Templates and workspaces as operators declare them."""

import re
from typing import Any, Literal

import pydantic

from greengagedale import exceptions
from greengagedale.config import option_types
from greengagedale.config import settings as settings_lib

_PLACEHOLDER = re.compile(r"\$\{([a-z][a-z0-9_]*)\}")

ParameterValue = bool | int | float | str


class Parameter(settings_lib.Section):
    """A typed parameter of a template."""

    type: Literal["integer", "number", "text", "boolean"]
    default: ParameterValue | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: list[ParameterValue] | None = None


class Template(settings_lib.Section):
    """A template of workspaces.

    Values in `workspace` may contain placeholders such as `${parameter}`.
    """

    name: option_types.Name
    parameters: dict[str, Parameter] = {}
    workspace: dict[str, ParameterValue]


class Workspace(settings_lib.Section):
    """A workspace of a member, made from a template and its parameters."""

    name: option_types.Name
    member: option_types.Name
    template: option_types.Name
    parameters: dict[str, ParameterValue] = {}


class ResolvedWorkspace(settings_lib.Section):
    """Settings of a workspace after substitution of its parameters.

    Attributes:
        service: Service whose upstreams hold the data.
        timeout_ms: Default timeout of requests.
        hits_limit: Maximum number of hits in an answer.
        prefer: Whether a search waits for stragglers or omits them.
        weight: Share of the tier under load, relative to other workspaces.
        queue_length: Maximum number of queued requests.
        extra_load_share: Maximum share of extra attempts that only reduce
            latency.
    """

    service: option_types.Name
    timeout_ms: option_types.DurationMs = 1000
    hits_limit: option_types.Count = 20
    prefer: Literal["early", "complete"] = "complete"
    weight: option_types.Count = 1
    queue_length: option_types.Count = 100
    extra_load_share: option_types.Fraction = 0.02


def parse_template(body: Any) -> Template:
    """Parses and validates a template.

    Raises:
        InvalidInputError: The template is invalid; all validation errors are
            listed.
    """
    template = _parse(Template, body, "template")
    field_errors = [
        *_unknown_placeholders(template),
        *_invalid_defaults(template),
        *_unknown_workspace_keys(template),
    ]
    if field_errors:
        raise exceptions.InvalidInputError("template", field_errors)
    return template


def parse_workspace(body: Any) -> Workspace:
    """Parses and validates a workspace, without its template.

    Raises:
        InvalidInputError: The workspace is invalid; all validation errors are
            listed.
    """
    return _parse(Workspace, body, "workspace")


def resolve(workspace: Workspace, template: Template) -> ResolvedWorkspace:
    """Substitutes a workspace's parameters into its template.

    Raises:
        InvalidInputError: The workspace does not match the template; all
            validation errors are listed.
    """
    field_errors = [
        *_unknown_parameters(workspace, template),
        *_invalid_parameters(workspace, template),
    ]
    if field_errors:
        raise exceptions.InvalidInputError(
            f"workspace {workspace.name}", field_errors
        )
    values = {
        name: workspace.parameters.get(name, parameter.default)
        for name, parameter in template.parameters.items()
    }
    substituted = {
        key: _substitute(value, values)
        for key, value in template.workspace.items()
    }
    return _parse(ResolvedWorkspace, substituted, f"workspace {workspace.name}")


def _parse(model: type[Any], body: Any, subject: str) -> Any:
    try:
        return model.model_validate(body)
    except pydantic.ValidationError as error:
        field_errors = settings_lib.to_field_errors(error)
        raise exceptions.InvalidInputError(subject, field_errors) from error


def _substitute(value: ParameterValue, values: dict[str, Any]) -> Any:
    if not isinstance(value, str):
        return value
    full_match = _PLACEHOLDER.fullmatch(value)
    if full_match:
        return values[full_match[1]]
    return _PLACEHOLDER.sub(lambda match: str(values[match[1]]), value)


def _unknown_placeholders(template: Template) -> list[exceptions.FieldError]:
    return [
        exceptions.FieldError(
            f"workspace.{key}", f"no parameter is named {name!r}"
        )
        for key, value in template.workspace.items()
        if isinstance(value, str)
        for name in _PLACEHOLDER.findall(value)
        if name not in template.parameters
    ]


def _unknown_workspace_keys(template: Template) -> list[exceptions.FieldError]:
    return [
        exceptions.FieldError(f"workspace.{key}", "unknown key")
        for key in template.workspace
        if key not in ResolvedWorkspace.model_fields
    ]


def _invalid_defaults(template: Template) -> list[exceptions.FieldError]:
    return [
        exceptions.FieldError(f"parameters.{name}.default", message)
        for name, parameter in template.parameters.items()
        if parameter.default is not None
        for message in _value_errors(parameter.default, parameter)
    ]


def _unknown_parameters(
    workspace: Workspace, template: Template
) -> list[exceptions.FieldError]:
    return [
        exceptions.FieldError(
            f"parameters.{name}",
            f"template {template.name!r} has no such parameter",
        )
        for name in workspace.parameters
        if name not in template.parameters
    ]


def _invalid_parameters(
    workspace: Workspace, template: Template
) -> list[exceptions.FieldError]:
    field_errors = []
    for name, parameter in template.parameters.items():
        value = workspace.parameters.get(name, parameter.default)
        errors = (
            ["missing"] if value is None else _value_errors(value, parameter)
        )
        field_errors.extend(
            exceptions.FieldError(f"parameters.{name}", message)
            for message in errors
        )
    return field_errors


_TYPES: dict[str, tuple[type, ...]] = {
    "integer": (int,),
    "number": (int, float),
    "text": (str,),
    "boolean": (bool,),
}


def _value_errors(value: ParameterValue, parameter: Parameter) -> list[str]:
    is_bool = isinstance(value, bool)
    if not isinstance(value, _TYPES[parameter.type]) or (
        is_bool and parameter.type != "boolean"
    ):
        return [f"must be of type {parameter.type}"]
    errors = []
    if parameter.choices is not None and value not in parameter.choices:
        errors.append(f"must be one of {parameter.choices}")
    if isinstance(value, int | float) and not is_bool:
        if parameter.minimum is not None and value < parameter.minimum:
            errors.append(f"must be at least {parameter.minimum:g}")
        if parameter.maximum is not None and value > parameter.maximum:
            errors.append(f"must be at most {parameter.maximum:g}")
    return errors
