"""The command line over the gateway and the list service."""
