"""The gateway's decision logic and message formats: quotas, server selection, retries and membership.

Nothing here does I/O except ``wirehost``, which runs gateways over standard input and output.
"""
