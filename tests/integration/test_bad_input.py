"""Generated invalid input at every adapter gets a typed error."""

import json
import socket

import grpc
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagedale import exceptions
from greengagedale.config import settings as settings_lib
from greengagedale.peers import wire as peers_wire
from standins import httpcalls

EXAMPLES = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["text", "limit", "timeout_ms", "key", "target"])
            | st.text(max_size=8),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
BODIES = st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode())
EXPECTED_STATUSES = range(200, 504)
SEARCH = "/v1/workspaces/search-a/search"


@pytest.fixture
def caller_address(shared_deployment):
    return shared_deployment.caller_address(shared_deployment.host(1))


@pytest.fixture
def check_still_serving(shared_deployment, caller_address):
    def check():
        answer = httpcalls.call(
            "POST", caller_address, SEARCH, {"text": "after"}
        )
        assert answer.body["outcome"] == "ran"
        assert all(
            p.poll() is None for p in shared_deployment.processes.values()
        )

    return check


@EXAMPLES
@given(body=BODIES, path=st.sampled_from(["search", "act"]))
def test_callers_get_typed_answers(
    caller_address, check_still_serving, body, path
):
    answer = httpcalls.call(
        "POST", caller_address, f"/v1/workspaces/search-a/{path}", body
    )
    assert answer.status in EXPECTED_STATUSES
    assert answer.status != 500
    assert answer.body.get("error") or answer.body.get("outcome")


@EXAMPLES
@given(body=BODIES, kind=st.sampled_from(["templates", "workspaces"]))
def test_operators_get_typed_answers(shared_deployment, body, kind):
    operator_address = shared_deployment.operator_address(
        shared_deployment.host(2)
    )
    answer = httpcalls.call("PUT", operator_address, f"/v1/{kind}/fuzzed", body)
    assert answer.status in EXPECTED_STATUSES
    assert answer.status != 500
    assert answer.body.get("error") or answer.body.get("outcome")


@EXAMPLES
@given(raw=st.binary(min_size=1, max_size=300))
def test_raw_bytes_end_in_an_answer_or_a_closed_connection(caller_address, raw):
    address, _, port = caller_address.rpartition(":")
    with socket.create_connection((address, int(port)), timeout=5) as sent:
        sent.sendall(raw)
        sent.shutdown(socket.SHUT_WR)
        while sent.recv(4096):
            pass


@EXAMPLES
@given(
    raw=st.binary(max_size=200),
    method=st.sampled_from(
        [
            peers_wire.MEMBERS,
            peers_wire.EXPLAIN,
            peers_wire.ACT,
            peers_wire.CATALOG,
            peers_wire.DOCUMENTS,
            peers_wire.SERVICES,
        ]
    ),
)
def test_malformed_peer_messages_are_rejected(shared_deployment, raw, method):
    host = shared_deployment.host(3)
    with grpc.insecure_channel(f"{host.address}:{host.peer_port}") as channel:
        call = channel.unary_unary(peers_wire.path_of(method))
        try:
            call(raw, timeout=5)
        except grpc.RpcError as error:
            assert error.code() is grpc.StatusCode.INVALID_ARGUMENT


@EXAMPLES
@given(
    config=st.dictionaries(
        st.sampled_from(["host", "platform", "peers", "callers", "limits"])
        | st.text(max_size=8),
        JSON,
        max_size=5,
    )
)
def test_invalid_settings_are_rejected(config):
    with pytest.raises(exceptions.ConfigError) as caught:
        settings_lib.Settings.from_config(config)
    assert caught.value.field_errors


def test_hosts_still_serve_after_invalid_input(check_still_serving):
    check_still_serving()
