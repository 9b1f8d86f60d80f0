"""The store of record: intents and receipts of keyed writes in SQLite or PostgreSQL, and databases as nodes.

``docs/design/store.md`` compares the design options; ``docs/operators/store.md`` is for the operators. The
modules that make decisions (``intent_manager`` with ``intent_table``, ``settlements``, ``journal_queue`` and
``batch_gathering``; ``health``, ``in_doubt``, ``drift``, ``audit_journal``) use no socket, file or clock.
``session``, ``postgres``, ``batch_writer``, ``recording_transport`` and ``sql_link`` carry out the decisions.
``extension`` sets up the store, and ``maintenance`` implements the operators' commands.
"""
