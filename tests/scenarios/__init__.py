"""Scenario tests: run the real programs and check their guarantees."""
