"""The host registry (list service): serves the host list to gateways as primary, follower or agent.

It tracks host leases, lets gateways find each other, and has the rules for agreement on settings versions.
"""
