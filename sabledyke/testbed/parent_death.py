"""Has a process end with the one that started it, so that a play that is killed leaves nobody behind."""

from __future__ import annotations

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # of prctl(2)
NO_PARENT_STATUS = 1

_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent(parent_pid: int) -> None:
    """Have this process killed when the thread that started it ends.

    To be called in a child before its ``exec``, or by the initializer of a process pool.

    Args:
        parent_pid: The process that started this one; where that has ended already, this one ends at once.

    Raises:
        OSError: The system does not take the request.
    """
    if _libc.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL)) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent_pid:
        os._exit(NO_PARENT_STATUS)
