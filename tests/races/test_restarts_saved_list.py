"""A start with a known list that is old, absent or makes no sense."""

import json

from tests.sockets import HOST, catalog, front_door, run


def test_known_list_that_makes_no_sense_is_no_reason_not_to_start() -> None:
    """JSON knows numbers that are infinite here; they were an OverflowError at the start."""
    good = json.loads(catalog(4, []))
    infinite = {"instanceId": "s1", "hostPort": f"{HOST}:7", "lifecycle": "SERVING", "cell": float("inf")}

    async def job() -> None:
        for known in (
            "x",
            [1],
            7,
            {},
            {"instances": 1},
            {**good, "generation": float("inf")},
            {**good, "generation": None},
            {**good, "instances": [7]},
        ):
            async with front_door(known=known) as (door, _):
                assert door.endpoints.saved_list is None or not door.endpoints.saved_list.event.endpoints
        async with front_door(known={**good, "instances": [infinite]}) as (door, _):
            assert door.endpoints.saved_list and [
                server.cell for server in door.endpoints.saved_list.event.endpoints
            ] == [0]  # says nothing

    run(job())
