"""The adapter between the compatibility tests and the program: only it refers to the program's identifiers.

A rename in the program requires edits in this package only. The expected data, in the tests and in ``data/``,
must not be edited for a rename.
"""
