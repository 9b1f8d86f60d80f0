"""The scheduler's decisions, a module for each question; no I/O and no clock, the time is passed in."""
