"""The state of the store's stand-in keeps each key with one lease."""

from standins._store_state import StoreState


# A released duty was lost by its next holder when the old lease ended, and so
# by every holder after that.
def test_end_of_a_lease_leaves_later_keys_of_the_same_name():
    state = StoreState()
    old, new = state.grant(2), state.grant(2)
    state.put("key", "", old)
    state.delete("key")
    state.put("key", "", new)
    state.end_lease(old)
    assert "key" in state.pairs
    state.end_lease(new)
    assert "key" not in state.pairs
