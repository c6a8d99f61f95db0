"""Gateway settings report all errors together and apply nothing on error."""

import copy

import pytest

from greengagedale import exceptions
from greengagedale.config import gateway

GOOD = {
    "host": {"name": "h-1", "data_centre": "here"},
    "gateway": {
        "caller_endpoint": "10.0.0.1:80",
        "ready_endpoint": "10.0.0.1:81",
        "locate_endpoint": "10.0.0.1:82",
        "peer_endpoint": "10.0.0.1:83",
    },
    "platform": {"endpoint": "10.0.0.9:90"},
}


def error_keys(section, **changes):
    config = copy.deepcopy(GOOD)
    config.setdefault(section, {}).update(changes)
    with pytest.raises(exceptions.ConfigError) as raised:
        gateway.GatewaySettings.from_config(config)
    return [field_error.key for field_error in raised.value.field_errors]


def test_good_settings_have_defaults():
    settings = gateway.GatewaySettings.from_config(GOOD)
    assert settings.gateway.locate_ttl_s == 1.0
    assert settings.gateway.metrics_endpoint is None
    assert settings.peers.seeds == ()
    assert settings.host.power_cores >= settings.learning.max_cores


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("host", "name", "Not A Name"),
        ("host", "name", 5),
        ("gateway", "peer_endpoint", "10.0.0.1"),
        ("gateway", "locate_ttl_s", "1"),
        ("gateway", "locate_ttl_s", 0),
        ("gateway", "locate_ttl_ms", 1000),
        ("peers", "seeds", "10.0.0.1:80"),
        ("peers", "seeds", [5]),
        ("retries", "ratio", 1.5),
        ("retries", "ratio", True),
        ("retries", "burst", float("nan")),
        ("shutdown", "grace_s", -1),
        ("logs", "level", "LOUD"),
        ("host", "cpu_share", 1.5),
        ("learning", "max_cores", -1),
        ("gateway", "min_relative_power", 2),
    ],
)
def test_invalid_value_is_reported_with_its_key(section, key, value):
    assert error_keys(section, **{key: value}) == [f"{section}.{key}"]


def test_all_errors_are_reported_together():
    with pytest.raises(exceptions.ConfigError) as raised:
        gateway.GatewaySettings.from_config(
            {"host": "x", "gateway": {}, "other": {}}
        )
    keys = [field_error.key for field_error in raised.value.field_errors]
    assert keys[:2] == ["other", "host"]
    assert "gateway.caller_endpoint" in keys
    assert "platform.endpoint" in keys
