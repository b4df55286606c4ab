"""Duties at the platform that one host at a time performs."""
