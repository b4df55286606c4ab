"""Counts of requests by client account and window of time."""
