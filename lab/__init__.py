"""Stand-ins for what the gateway serves and is served by: hosts, clients, and the front that shares them out.

They speak the published protocol on loopback sockets. Everything random comes from one seed, by numpy's
generators spawned per part, so that one part more does not shift the others.
"""
