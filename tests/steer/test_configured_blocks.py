"""Checks that lookups by address follow changes of the configuration."""

from __future__ import annotations

from radishmux.config.model import Configuration, Region
from radishmux.config.state import ConfigState
from radishmux.config.validation import validate
from radishmux.steer.configured_blocks import ConfiguredBlocks


def _configuration(version: int, **blocks: list[str]) -> Configuration:
    return Configuration(
        version=version,
        regions=[
            Region(
                name=name,
                failure_domains=[f"{name}-a"],
                client_blocks=client_blocks,
            )
            for name, client_blocks in blocks.items()
        ],
    )


def test_a_new_configuration_moves_adds_and_removes_blocks():
    config = ConfigState(
        _configuration(
            1, accra=["10.1.0.0/16", "10.2.0.0/16"], kumasi=["10.0.0.0/8"]
        )
    )
    blocks = ConfiguredBlocks(config)
    assert blocks.region_of("10.1.2.3") == "accra"
    assert blocks.region_of("10.9.2.3") == "kumasi"
    assert blocks.region_of("192.0.2.1") is None
    config.apply(
        _configuration(2, accra=["10.2.0.0/16"], kumasi=["10.1.0.0/16"])
    )
    assert blocks.region_of("10.1.2.3") == "kumasi"
    assert blocks.region_of("10.2.2.3") == "accra"
    assert blocks.region_of("10.9.2.3") is None
    assert len(blocks) == 2


def test_malformed_and_duplicate_blocks_are_rejected():
    problems = validate(
        _configuration(1, accra=["10.1.0.0/99"], kumasi=["10.0.0.0/8"])
    )
    assert [problem.path for problem in problems] == [
        "$.regions[0].client_blocks[0]"
    ]
    problems = validate(
        _configuration(1, accra=["10.0.0.0/8"], kumasi=["10.0.0.0/8"])
    )
    assert [problem.path for problem in problems] == [
        "$.regions[1].client_blocks[0]"
    ]
