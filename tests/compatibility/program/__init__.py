"""The only place of these tests that names parts of the program: a rename there is an edit here alone.

Expected data stand in the tests and in ``data/``, and must not be edited for a rename.
"""
