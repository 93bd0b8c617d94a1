"""The proving ground: real processes of the program on loopback, faults between them, and a checker of files.

``schedule`` says what goes wrong, ``relay`` does it to links, ``fleet`` to processes; ``record`` writes what
was seen, ``checker`` reads that alone; ``campaign`` repeats and shrinks.
"""
