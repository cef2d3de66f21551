"""The commands of a page in a folder of its own, each within a time; what stays is ended by its own id.

`molereach`, `python` and `.venv/bin/...` are the interpreter that runs the tests, whatever is installed;
exported variables go from one command to the next, as in a terminal.
"""

import contextlib
import os
import selectors
import shlex
import shutil
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
MOST_COMMAND_S = 120.0  # that only a hang takes, on a busy machine too
MOST_END_S = 10.0
MOST_OUTPUT_BYTES = 1 << 20
PROGRAMS = {"molereach": "-m molereach", "python": "", "python3": ""}
# Virtual time takes all the CPU that it gets: what runs in real time beside it goes first.
WRAPPER = '#!/bin/sh\n{niced}exec {python} {arguments} "$@"\n'
NICED = 'test "$1" = simulate && exec nice -n 19 {python} {arguments} "$@"\n'


@dataclass
class Done:
    """A command that has ended, or was ended; a negative code is a signal."""

    code: int
    text: str  # standard output and error, as they came
    timed_out: bool = False


def make_folder(folder: Path) -> Path:
    """A folder as a checkout has it after README's first lines, without the program's own files."""
    folder.mkdir(parents=True)
    for place in (folder / "bin", folder / ".venv" / "bin"):
        place.mkdir(parents=True)
        for name, arguments in PROGRAMS.items():
            words = {"python": shlex.quote(sys.executable), "arguments": arguments}
            niced = NICED.format(**words) if arguments else ""
            (place / name).write_text(WRAPPER.format(niced=niced, **words))
            (place / name).chmod(0o755)
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    return folder


def environment(folder: Path) -> dict[str, str]:
    """Nothing of who runs the tests, but for the way to the interpreter's packages."""
    return {
        "PATH": f"{folder / 'bin'}:/usr/local/bin:/usr/bin:/bin",
        "PYTHONPATH": str(ROOT),
        "HOME": str(folder),
        "TMPDIR": str(folder),
        "LANG": "C.UTF-8",
        "TERM": "dumb",
        "COLUMNS": "120",
        "PYTHONDONTWRITEBYTECODE": "1",
    }


def end(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    """To the process and what is in its group, which is its own."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, number)


class Staying:
    """A process that stays until the page ends."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self.process, self.text = process, ""
        self.reader = threading.Thread(target=self.read_on, daemon=True)

    def wait_for(self, words: str, within_s: float) -> bool:
        """Read until it says `words`; False when it ends, or time is over, without them."""
        assert self.process.stdout
        until = time.monotonic() + within_s
        with selectors.DefaultSelector() as selector:
            selector.register(self.process.stdout, selectors.EVENT_READ)
            while words not in self.text:
                if not selector.select(max(0.0, until - time.monotonic())):
                    return False
                data = os.read(self.process.stdout.fileno(), 65536)
                if not data or len(self.text) > MOST_OUTPUT_BYTES:
                    return False
                self.text += data.decode(errors="replace")
        self.reader.start()  # a full pipe would stop it
        return True

    def read_on(self) -> None:
        assert self.process.stdout
        while data := os.read(self.process.stdout.fileno(), 65536):
            self.text = (self.text + data.decode(errors="replace"))[-MOST_OUTPUT_BYTES:]

    def close(self) -> Done:
        """SIGTERM, and SIGKILL where that does not end it in time."""
        late = False
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(MOST_END_S)
        except subprocess.TimeoutExpired:
            late = True
        end(self.process, signal.SIGKILL)
        self.process.wait()
        if self.reader.is_alive():
            self.reader.join()
        if self.process.stdout:
            self.process.stdout.close()
        return Done(self.process.returncode, self.text, late)


class Shell:
    """One page's terminal."""

    def __init__(self, folder: Path) -> None:
        self.folder = make_folder(folder)
        self.env, self.staying = environment(self.folder), list[Staying]()

    def start(self, command: list[str]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            command,
            cwd=self.folder,
            env=self.env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )

    def run(self, line: str, within_s: float = MOST_COMMAND_S) -> Done:
        """One command line, as bash takes it."""
        kept = self.folder / ".environment"
        saving = f"trap 'code=$?; env -0 > {shlex.quote(str(kept))}; exit $code' EXIT\n"
        done = self.finish(self.start(["bash", "-c", saving + line]), within_s)
        if kept.exists():
            self.env = dict(each.split("=", 1) for each in kept.read_text().split("\0") if "=" in each)
        return done

    def python(self, code: str, within_s: float = MOST_COMMAND_S) -> Done:
        return self.finish(self.start([sys.executable, "-c", code]), within_s)

    def finish(self, process: subprocess.Popen[bytes], within_s: float) -> Done:
        try:
            out, _ = process.communicate(timeout=within_s)
            return Done(process.returncode, out.decode(errors="replace"))
        except subprocess.TimeoutExpired:
            end(process, signal.SIGKILL)
            out, _ = process.communicate()
            return Done(process.returncode, out.decode(errors="replace"), True)

    def stay(self, line: str, until: str, within_s: float = MOST_COMMAND_S) -> tuple[bool, Staying]:
        """Start one command that stays; whether it has said `until`."""
        one = Staying(self.start(["bash", "-c", f"exec env {line}"]))
        self.staying.append(one)
        return one.wait_for(until, within_s), one
