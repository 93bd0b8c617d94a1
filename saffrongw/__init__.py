"""The API gateway as a process: sockets, timers, configuration, discovery, metrics and upgrades.

It passes events to the decision module, ``orchidlane``, and executes the actions that it returns.
"""
