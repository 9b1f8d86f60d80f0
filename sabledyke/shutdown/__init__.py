"""Graceful shutdown: how a scheduler stops so that the next one begins without a gap."""
