"""Each action of the policy is executed by a method that takes its type."""

from typing import get_args, get_type_hints

from molereach.policy.interface.actions import Action, CloseIdleConnections
from tests.sockets import Backend, Client, front_door, query, run


def test_every_action_is_executed_by_a_method_that_takes_its_type() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, _):
            handlers = proxy.action_handlers()
            assert handlers.keys() <= set(get_args(Action))
            for action, handler in handlers.items():
                (parameter_type,) = [
                    hint for name, hint in get_type_hints(handler).items() if name != "return"
                ]
                assert action is parameter_type or action in get_args(parameter_type)

    run(job())


def test_idle_connections_to_a_backend_are_closed_when_the_policy_requests_it() -> None:
    async def job() -> None:
        async with front_door(Backend()) as (proxy, address):
            client = await Client.open(address)
            assert await client.ask(query("a1")) == b"ok"
            pool = next(iter(proxy.backends.pools.values()))
            idle_connections = list(pool.idle)
            assert len(idle_connections) == 1
            proxy.driver.execute(CloseIdleConnections(pool.name))
            assert not pool.idle and not idle_connections[0].is_usable()

    run(job())
