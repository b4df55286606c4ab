"""Number of upstreams that a service needs in each availability zone."""
