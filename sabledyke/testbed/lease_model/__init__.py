"""Holders and authority of a lease as a model: every order of faults that a small fleet can meet.

The holders are ``lease.holder`` itself, not a copy of it. Time passes in ticks; in each, a slow clock counts
``SLOW`` and a fast one ``FAST``, the worst that the bound on rates allows. Messages may be delayed for any
time, reordered or lost; an instance may be paused, or die and come back as a new incarnation; the authority
may restart. Budgets bound how often each fault comes, which makes the states finite; delay costs nothing.

States are kept in a canonical form (``canonical``, ``symmetry``). What must hold: no two instances act at
once, and the one that acts has the highest token of all that hold one (``checker``).
"""
