"""Graceful shutdown: stops a scheduler without losing requests, so that a new process can replace it."""
