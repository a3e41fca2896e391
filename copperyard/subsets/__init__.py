"""Which backend servers of a service an entry uses."""
