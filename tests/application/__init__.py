"""Tests of the running server: start, reload, console, drain and shutdown."""
