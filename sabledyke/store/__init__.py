"""The store of record: intents and receipts of keyed writes in SQLite or PostgreSQL, and databases as nodes.

``docs/design/store.md`` weighs the options; ``docs/operators/store.md`` is for the operators. Decisions
(``intent_manager`` with ``intent_table``, ``settlements``, ``journal_queue`` and ``batch_gathering``;
``health``, ``in_doubt``, ``drift``, ``audit_journal``) know no socket, file or clock; ``session``,
``postgres``, ``batch_writer``, ``recording_transport`` and ``sql_link`` carry them out; ``extension`` is
where all of it is set up, and ``maintenance`` has the operators' commands.
"""
