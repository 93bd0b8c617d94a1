"""The ``birchdrum`` command: runs and controls gateways, the registry, a local demo fleet and the lab.

It also loads, validates and converts configuration files of gateways.
"""
