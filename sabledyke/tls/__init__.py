"""TLS towards boxes: a layer fed bytes, keys that change in service, tickets, and admission of handshakes.

Decisions (``keyring``, ``tickets``, ``admission``) know no socket, file or clock; ``layer`` is a state
machine fed bytes; ``stream`` is the one driver, and ``part`` is where all of it is set up.
"""
