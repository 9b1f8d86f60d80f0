"""Tests of the network drivers, most of them through the whole server on loopback."""
