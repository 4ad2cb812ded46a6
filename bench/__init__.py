"""Benches of the decisions and of the stream path."""
