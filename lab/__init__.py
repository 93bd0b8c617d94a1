"""Simulations of a fleet of gateways, and stand-ins for the hosts, clients and load balancer around real ones.

The stand-ins speak the published protocol on loopback sockets. All randomness derives from one seed; each
component draws from its own generator, so that adding a component does not change the draws of the others.
"""
