"""Each action of the policy is carried out by a method that takes its type."""

from typing import get_args, get_type_hints

from molereach.policy.interface.actions import Action, CloseIdleConnections
from tests.sockets import Backend, Client, front_door, query, run


def test_every_action_is_carried_out_by_a_method_of_its_type() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, _):
            handlers = door.action_handlers()
            assert handlers.keys() <= set(get_args(Action))
            for action, handler in handlers.items():
                (parameter,) = [kind for name, kind in get_type_hints(handler).items() if name != "return"]
                assert action is parameter or action in get_args(parameter)

    run(job())


def test_idle_connections_to_a_backend_are_closed_on_the_policys_action() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (door, address):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            pool = next(iter(door.backends.pools.values()))
            idle = list(pool.idle)
            assert len(idle) == 1
            door.driver.execute(CloseIdleConnections(pool.name))
            assert not pool.idle and not idle[0].is_usable()

    run(job())
