"""TLS towards storage nodes and on the fronts, with keys that change in service and admission of handshakes.

The decisions (``keyring``, ``session_tickets``, ``handshake_admission``) know no socket, file or clock, and
``tls_machine`` is fed bytes. ``connector`` and ``stream`` drive them, and ``extension`` sets all of it up.
"""
