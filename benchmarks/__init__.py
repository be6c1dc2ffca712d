"""Benchmarks of real processes on loopback; compare within one run only."""
