"""Child processes are killed when the test bed ends."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.rig.processes import alive, until

ROOT = Path(__file__).parents[2]
# A child that requests its parent-death signal only after the parent has ended.
# It first prints its process id.
LATE_REQUEST = """
import os, subprocess, sys, time
from rig.doors import die_with_parent
request, parent = die_with_parent(), os.getpid()

def late():
    print(os.getpid(), flush=True)
    while os.getppid() == parent:
        time.sleep(0.001)
    request()

subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"], preexec_fn=late)
"""


def test_child_ends_if_its_parent_ended_before_the_request() -> None:
    parent = subprocess.Popen([sys.executable, "-c", LATE_REQUEST], stdout=subprocess.PIPE, cwd=ROOT)
    assert parent.stdout
    child = int(parent.stdout.readline())
    try:
        parent.kill()
        parent.wait()
        until(lambda: not alive(child))
    finally:
        parent.stdout.close()
        if alive(child):
            os.kill(child, signal.SIGKILL)
