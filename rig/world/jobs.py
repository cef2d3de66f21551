"""What runs beside the day, and is ended with it; what fails there is trouble of the rig's own."""

import asyncio


class Jobs:
    """Tasks that nobody waits for."""

    def __init__(self) -> None:
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.trouble: list[str] = []

    def spawn(self, job: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks[task] = None
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    def cancel(self) -> None:
        for task in list(self.tasks):
            task.cancel()
