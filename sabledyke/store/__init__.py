"""The store of record: keyed writes' intents and receipts in SQLite or PostgreSQL, and a database as a box.

``docs/design/store.md`` weighs the options; ``docs/operators/store.md`` is for who runs it. Decisions
(``keeper``, ``health``, ``doubt``, ``drift``, ``journal``) know no socket, file or clock; ``session``,
``postgres``, ``recorder`` and ``sqllink`` do what they say; ``part`` is where all of it is set up.
"""
