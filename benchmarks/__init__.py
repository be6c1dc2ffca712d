"""Measurements over real processes on loopback, as ratios within one run."""
