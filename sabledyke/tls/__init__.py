"""TLS to storage nodes and for clients, with key rotation at run time and admission of handshakes.

``keyring``, ``session_tickets`` and ``handshake_admission`` make decisions without access to sockets, files
or the clock. ``tls_machine`` is a sans-I/O state machine. ``connector`` and ``stream`` drive these modules,
and ``extension`` sets them up.
"""
