"""Memory that a process holds for callers and backend servers."""
