"""Starts the gateway daemon from a checkout, without installing it."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "src"))

from radishmux.gateway.daemon import main  # noqa: E402

main()
