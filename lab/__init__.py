"""Simulations of a fleet of gateways, and stand-ins for their hosts, clients and load balancer.

The stand-ins speak the published protocol on loopback sockets. All randomness derives from one seed; each
component draws from its own generator, so that adding a component does not change the draws of the others.
"""
