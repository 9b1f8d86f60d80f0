"""Termination of a process when its parent dies, so that a killed run leaves no processes behind."""

from __future__ import annotations

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # option of prctl(2)
NO_PARENT_STATUS = 1

_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent(parent_pid: int) -> None:
    """Have the kernel kill this process when the thread that started it ends.

    Call it in a child before its ``exec``, or in the initializer of a process pool.

    Args:
        parent_pid: The process that started this one; if it has already ended, this process exits at once.

    Raises:
        OSError: The call of prctl(2) failed.
    """
    if _libc.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL)) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent_pid:
        os._exit(NO_PARENT_STATUS)
