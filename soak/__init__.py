"""Fault soak: real programs on one machine, faults from outside."""
