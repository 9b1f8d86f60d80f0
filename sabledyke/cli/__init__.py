"""The command line: a file for each group of sub-commands."""
