"""Startup with a known list that is absent or invalid."""

import json

from tests.sockets import HOST, catalog, front_door, run


def test_invalid_known_list_does_not_prevent_the_start() -> None:
    """JSON may hold numbers that are infinite as a float; they caused an OverflowError at startup."""
    valid = json.loads(catalog(4, []))
    infinite = {"instanceId": "s1", "hostPort": f"{HOST}:7", "lifecycle": "SERVING", "cell": float("inf")}

    async def job() -> None:
        for known in (
            "x",
            [1],
            7,
            {},
            {"instances": 1},
            {**valid, "generation": float("inf")},
            {**valid, "generation": None},
            {**valid, "instances": [7]},
        ):
            async with front_door(known=known) as (proxy, _):
                assert proxy.endpoints.saved_list is None or not proxy.endpoints.saved_list.event.endpoints
        async with front_door(known={**valid, "instances": [infinite]}) as (proxy, _):
            assert proxy.endpoints.saved_list and [
                endpoint.cell for endpoint in proxy.endpoints.saved_list.event.endpoints
            ] == [0]  # an infinite cell counts as not given

    run(job())
