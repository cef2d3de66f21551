"""The rig's processes go with it, whenever it is gone."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.rig.processes import alive, until

ROOT = Path(__file__).parents[2]
# A child that asks to die with its parent only once that is gone: `parent` first tells its name.
LATE = """
import os, subprocess, sys, time
from rig.doors import die_with_parent
ask, parent = die_with_parent(), os.getpid()

def late():
    print(os.getpid(), flush=True)
    while os.getppid() == parent:
        time.sleep(0.001)
    ask()

subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"], preexec_fn=late)
"""


def test_child_whose_parent_is_gone_before_it_has_asked_goes_too() -> None:
    parent = subprocess.Popen([sys.executable, "-c", LATE], stdout=subprocess.PIPE, cwd=ROOT)
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
