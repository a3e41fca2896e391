"""Limits on what clients may take from a process, whatever they send."""
