"""Tests of the server process: start, reload, console, drain and shutdown."""
