"""The host registry (list service): serves the host list to gateways as primary, follower or agent.

It tracks host leases and lets gateways find each other. ``agreement`` is the protocol by which gateways agree
on versions of their settings.
"""
