"""Tests the registry, outcome classes and settings loader."""

from __future__ import annotations

import pytest

from radishmux.config.model import Configuration
from radishmux.outcome import Conflict
from radishmux.registry import Registry, UnknownNameError
from radishmux.settings.loader import SettingsError, parse


def test_registry_refuses_a_second_entry_under_one_name():
    registry: Registry[str, int] = Registry("number")
    registry.register("one")(1)
    with pytest.raises(ValueError, match="registered twice"):
        registry.register("one")(2)
    with pytest.raises(UnknownNameError, match="known: one"):
        registry["two"]


def test_failed_outcomes_are_falsy_and_have_a_reason():
    result = Conflict("newer revision")
    assert not result
    assert result.reason == "newer revision"


def test_wrong_configuration_names_file_path_and_allowed_values():
    text = """{ // A customer with a negative rate.
      "customers": [{"name": "a", "rate_per_s": -1, "burst": 2}],
    }"""
    with pytest.raises(SettingsError) as caught:
        parse(text, Configuration, "fleet.jsonc")
    message = str(caught.value)
    assert "fleet.jsonc" in message
    assert "$.customers[0].rate_per_s" in message
    assert "> 0" in message
    assert "-1 is not allowed" in message


def test_unknown_setting_is_named_without_the_whole_document():
    with pytest.raises(SettingsError) as caught:
        parse('{"regionz": [], "version": 1}', Configuration, "fleet.jsonc")
    assert str(caught.value) == (
        "fleet.jsonc: $: Object contains unknown field `regionz`"
    )
