"""Customer rate shares, token buckets and loans."""
