"""Fault injection for real gateway processes on loopback, and a checker of the recorded files.

``schedule`` defines which faults happen and when, ``relay`` applies them to links and ``fleet`` to processes;
``record`` writes what was observed and reads it back, ``checker`` evaluates only that; ``campaign`` runs
schedules and reduces a failing one to the fewest faults.
"""
