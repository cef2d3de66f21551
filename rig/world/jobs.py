"""Background tasks of a run, cancelled at its end. Their exceptions are faults of the test bed itself."""

import asyncio


class Jobs:
    """Background tasks that are not awaited; `trouble` collects the exceptions that they raise."""

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.trouble: list[str] = []

    def spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        """Run a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self.on_done)

    def on_done(self, task: asyncio.Task[None]) -> None:
        """Forget a finished task and record its exception, if it raised one."""
        self.tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self.tasks):
            task.cancel()
