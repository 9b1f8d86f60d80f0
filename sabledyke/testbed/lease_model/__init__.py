"""Model of the holders and the authority of a lease, checked for every order of faults in a small fleet.

The model runs ``lease.holder`` itself, not a copy of it. Time advances in ticks. In each tick a slow clock
advances by ``SLOW`` and a fast one by ``FAST``, the largest difference that the bound on clock drift allows.
Messages may be delayed for any time, reordered or lost. An instance may be paused, or crash and restart as a
new incarnation. The authority may restart. A budget limits how often each fault occurs, so that the number of
states is finite; delays are not limited.

States are stored in a canonical form (``canonical``, ``symmetry``). Invariants (``checker``): at most one
instance may operate under the lease at any time, and its token is the highest that any instance holds.
"""
