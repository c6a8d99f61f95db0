"""`greengagedale explain`: shows how a request was processed."""

import pathlib
import sys
from typing import Annotated, Any

import rich.box
import rich.console
import rich.table
import typer

from greengagedale import exceptions
from greengagedale.commands import host_api
from greengagedale.commands import request_log_lines

_WIDTH = 100
_STANDARD_INPUT = pathlib.Path("-")


def explain(
    request_id: Annotated[str, typer.Argument(help="From the answer.")],
    host: host_api.OptionalCallerEndpoint = None,
    logs: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--logs",
            help="Log lines of hosts, - for standard input; no host is asked.",
        ),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="JSON lines, no table.")
    ] = False,
) -> None:
    """Show what was done for a recent request, and why."""
    if logs is not None:
        _explain_from_logs(request_id, logs, as_json)
    elif host is not None:
        _explain_from_host(request_id, host, as_json)
    else:
        raise typer.BadParameter("give --host or --logs")


def _explain_from_logs(
    request_id: str, logs: pathlib.Path, as_json: bool
) -> None:
    lines = request_log_lines.related_lines(_read_lines(logs), request_id)
    if not lines:
        raise exceptions.RemoteError(f"no log line names {request_id!r}")
    for line in lines:
        if as_json:
            host_api.show(line)
        else:
            for text in request_log_lines.format_line(line):
                typer.echo(text)


def _read_lines(logs: pathlib.Path) -> list[str]:
    if logs == _STANDARD_INPUT:
        return sys.stdin.read().splitlines()
    try:
        return logs.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        field_error = exceptions.FieldError("--logs", str(error))
        raise exceptions.InvalidInputError(str(logs), [field_error]) from error


def _explain_from_host(request_id: str, host: str, as_json: bool) -> None:
    record = host_api.run(host_api.fetch(host, f"/v1/explain/{request_id}"))
    if as_json:
        host_api.show(record)
        return
    console = rich.console.Console(width=_WIDTH, highlight=False)
    for line in summary(record):
        console.print(line, markup=False, soft_wrap=True)
    if record["events"]:
        console.print(timeline(record))


def summary(record: dict[str, Any]) -> list[str]:
    """Returns the lines that are printed before the timeline."""
    took_ms = record["took_ms"]
    lines = [
        f"request    {record['request_id']} ({record['kind']})",
        f"workspace  {record['workspace']} of {record['member'] or '?'}",
        f"outcome    {record['outcome']} after {took_ms:.1f} ms",
    ]
    if record["key"]:
        lines.append(f"key        {record['key']}")
    lines += [
        f"{name:<10} {_format_value(value)}"
        for name, value in record["detail"].items()
    ]
    return lines


def timeline(record: dict[str, Any]) -> rich.table.Table:
    """Returns a table of the events of a record, in order of time."""
    table = rich.table.Table(box=rich.box.SIMPLE)
    table.add_column("at ms", justify="right")
    for column in ("host", "what", "about", "why"):
        table.add_column(column)
    for at_ms, host, what, subject, reason in record["events"]:
        table.add_row(f"{at_ms:.1f}", host, what, subject, reason)
    if record["events_left_out"]:
        omitted = f"{record['events_left_out']} more, not kept"
        table.add_row("", "", omitted, "", "")
    return table


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(map(str, value))
    return str(value)
