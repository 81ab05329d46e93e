"""Keeps the client block table up to date with the configuration."""

from __future__ import annotations

from radishmux.config.model import Configuration
from radishmux.steer.blocks import BlockChange, BlockTable
from radishmux.steer.selector import ConfigSource


class ConfiguredBlocks:
    """Looks up callers in the client blocks of the configured regions.

    A new configuration changes only the blocks that differ from the previous
    one. Validation ensures that a block is listed by at most one region.
    """

    def __init__(self, config: ConfigSource) -> None:
        self._table = BlockTable()
        self._regions: dict[str, str] = {}
        self.on_configuration(config.current)
        config.watch(self.on_configuration)

    def __len__(self) -> int:
        return len(self._table)

    def region_of(self, address: str) -> str | None:
        """Returns the region of a caller's address, or None if unknown."""
        return self._table.region_of(address)

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies the client blocks of a new configuration."""
        wanted = {
            block: region.name
            for region in configuration.regions
            for block in region.client_blocks
        }
        removed = self._regions.keys() - wanted.keys()
        changes = [BlockChange(block, None) for block in removed]
        changes += [
            BlockChange(block, region)
            for block, region in wanted.items()
            if self._regions.get(block) != region
        ]
        if changes:
            self._table.apply(changes)
        self._regions = wanted
