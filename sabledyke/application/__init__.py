"""The running program: its assembly from drivers and extensions, reload and lifecycle."""
