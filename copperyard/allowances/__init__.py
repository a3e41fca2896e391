"""Request rates of tenants, counted over all entries together."""
