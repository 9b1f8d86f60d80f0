"""Benchmarks of single components; their main figures are ratios of two measurements within one run."""
