"""Tests that compare bytes on sockets, and status and output of commands, with approved transcripts."""
