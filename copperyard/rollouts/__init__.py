"""Gradual moves of a service to a new version of its servers."""
