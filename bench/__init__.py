"""Benches of dispatch, account limits, membership, config and streams."""
