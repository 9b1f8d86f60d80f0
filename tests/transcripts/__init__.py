"""Approved transcripts of what goes over the sockets, and of the edge of the process."""
