"""The laboratory: models, faults, load, checkers and experiments; never loaded by ``serve``."""
