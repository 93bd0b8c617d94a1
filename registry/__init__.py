"""The list service: keeps the list of hosts that gateways watch, with leases, followers and agents."""
