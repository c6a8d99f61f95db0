"""A request can be explained from the log lines of hosts alone."""

import json

import pytest

from greengagedale.commands import request_log_lines


def line(message, at="10:00:01", host="h1", **fields):
    fields_of_line = {"time": at, "host": host, "message": message, **fields}
    return json.dumps(fields_of_line)


REQUEST = {
    "request_id": "q1",
    "route": "find",
    "version": 7,
    "upstreams_version": [40, 0],
    "outcome": "ran",
    "took_ms": 214.2,
    "left_ms": 980,
    "detail": "9 of 10 parts",
    "steps": [[3.5, "refused", "s1", "s1-0", "overloaded"]],
}


@pytest.fixture
def lines():
    return [
        line("upstream gone", "10:00:00", service="s1", upstream="s1-1"),
        line("upstream gone", "10:00:00", service="s9", upstream="s9-1"),
        line("store lost", "10:00:00", host="h2", reason="silent"),
        "not a log line",
        "12.5 h1 " + line("request", **REQUEST),
        line("request", **{**REQUEST, "request_id": "q2"}),
        "{broken",
    ]


def test_related_lines_include_preceding_events_of_the_host(lines):
    related = request_log_lines.related_lines(lines, "q1")
    assert [each["message"] for each in related] == ["upstream gone", "request"]


def test_formatted_line_shows_each_step_and_the_outcome(lines):
    related = request_log_lines.related_lines(lines, "q1")
    text = "\n".join(request_log_lines.format_line(related[-1]))
    assert "route find of configuration 7, upstreams as of 40" in text
    assert "refused   s1 s1-0 overloaded" in text
    assert "ran: 9 of 10 parts, 980 ms before its deadline" in text


def test_unknown_request_has_no_related_lines(lines):
    assert request_log_lines.related_lines(lines, "q3") == []
