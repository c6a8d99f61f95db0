"""A request's story is told from the log lines of hosts alone."""

import json

import pytest

from greengagedale.commands import request_log_lines


def line(message, at="10:00:01", host="h1", **fields):
    held = {"time": at, "host": host, "message": message, **fields}
    return json.dumps(held)


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


def test_story_has_what_the_host_believed_before(lines):
    found = request_log_lines.related_lines(lines, "q1")
    assert [each["message"] for each in found] == ["upstream gone", "request"]


def test_story_names_each_step_and_the_end(lines):
    found = request_log_lines.related_lines(lines, "q1")
    text = "\n".join(request_log_lines.format_line(found[-1]))
    assert "route find of configuration 7, upstreams as of 40" in text
    assert "refused   s1 s1-0 overloaded" in text
    assert "ran: 9 of 10 parts, 980 ms before its deadline" in text


def test_unknown_request_has_no_story(lines):
    assert request_log_lines.related_lines(lines, "q3") == []
