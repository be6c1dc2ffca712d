"""Adapt rosepath to the users' platform: names, formats and calls.

Thresholds, retries and choices are made outside this package.
"""
