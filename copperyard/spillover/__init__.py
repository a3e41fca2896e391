"""Requests that leave their failure domain, and how many."""
