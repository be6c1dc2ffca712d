"""Benchmarks of real processes on loopback; compare figures of one run only."""
