"""The testbed: models, faults, load, checkers and experiments. ``serve`` never imports it."""
