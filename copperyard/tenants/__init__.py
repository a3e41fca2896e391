"""Tenants, their API keys, and who may send requests with them."""
