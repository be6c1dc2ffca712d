"""The adapter to the users' platform: names, formats and calls.

Nothing in here decides: thresholds, retries and choices are the product's.
"""
