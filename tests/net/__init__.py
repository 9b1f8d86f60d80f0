"""Tests of the network drivers, most of them against a complete server on loopback."""
