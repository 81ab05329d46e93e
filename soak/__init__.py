"""Fault soak: real daemons under seeded faults, checked from outside.

`python -m soak --seed N` runs gateway daemons beside stand-ins of the
platform, injects the faults that the seed draws, and checks the users' rules
from what callers, backend servers and the operator saw.
"""
