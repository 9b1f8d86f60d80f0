"""Network drivers on Tornado's streams: front ends, listeners, connections to nodes, the list watch."""
