"""Measurements of what parts cost, each a ratio of two things in one run."""
