"""Drivers on Tornado's streams: fronts, listeners, connections to nodes, the watch, start and end."""
