"""Formats of stored data: what earlier versions wrote has to be read, and written again to the same bytes."""
