"""The server process: its assembly from drivers and extensions, its life cycle, and reload."""
