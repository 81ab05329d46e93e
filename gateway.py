"""Starts the gateway daemon from a checkout, without installing it."""

from __future__ import annotations

import pathlib
import signal
import sys

# Until the daemon handles it, a SIGHUP would end the process. A change of the
# settings that it announces is noticed all the same, by the file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parent / "src"))

from radishmux.gateway.daemon import main  # noqa: E402

main()
