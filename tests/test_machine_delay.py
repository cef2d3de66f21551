"""Lost time is that in which a process could not run, and not that in which it was busy or waited."""

import asyncio
import os
import signal
import subprocess
import sys
import time

from tests.machine_delay import machine_delay
from tests.sockets import run

CONTINUE_LATER = "import os, signal, sys, time; time.sleep(0.3); os.kill(int(sys.argv[1]), signal.SIGCONT)"


def test_time_of_a_stopped_process_is_lost() -> None:
    async def job() -> None:
        async with machine_delay() as delay:
            started_us = delay.running_us()
            helper = subprocess.Popen([sys.executable, "-c", CONTINUE_LATER, str(os.getpid())])
            os.kill(os.getpid(), signal.SIGSTOP)
            await asyncio.sleep(0.05)
            assert delay.lost_us > 250_000
            assert delay.running_us() - started_us < 250_000 + delay.lost_us
            helper.wait()

    run(job())


def test_time_of_a_busy_or_waiting_process_is_not_lost() -> None:
    async def job() -> None:
        async with machine_delay() as delay:
            started_us = delay.running_us()
            await asyncio.sleep(0.1)
            cpu_until = time.process_time() + 0.2
            while time.process_time() < cpu_until:
                pass
            await asyncio.sleep(0)
            assert delay.running_us() - started_us >= 290_000

    run(job())
