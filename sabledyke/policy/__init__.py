"""The scheduler's decisions, one module for each. They do no I/O and read no clock: the time is passed in."""
