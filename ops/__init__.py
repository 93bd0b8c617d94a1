"""Shared by the gateway, the registry, the command line and the lab.

Logging, Prometheus metrics, an HTTP server, units in configuration, validation of files, and atomic writes.
"""
