"""Simulated external services and a fleet launcher for tests and demos."""
