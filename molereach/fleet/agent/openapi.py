"""The description of the API (OpenAPI 3.1.0), generated from the types of its bodies.

`python -m molereach.fleet.agent.openapi` prints the content of `openapi.json`; a test compares them.
"""

import json
from typing import Any

import msgspec

from molereach import __version__
from molereach.fleet import agreement, api_bodies, orders

TEMPLATE = "#/components/schemas/{name}"
MESSAGES = (
    agreement.Prepare,
    agreement.Promise,
    agreement.Accept,
    agreement.Accepted,
    agreement.Outbid,
    agreement.Known,
    agreement.Behind,
)
BODIES = (
    api_bodies.Status,
    api_bodies.AgentSnapshot,
    api_bodies.Members,
    api_bodies.Orders,
    api_bodies.Quota,
    api_bodies.Event,
    api_bodies.Problem,
    orders.OrderStateRecord,
)
PROBLEMS = {
    "400": "what came makes no sense",
    "401": "no token that is known",
    "403": "not with this role",
    "503": "not now",
}

AFTER = {"name": "after", "in": "query", "required": False, "schema": {"type": "integer", "minimum": 0}}
CUSTOMER = {
    "name": "customer",
    "in": "path",
    "required": True,
    "schema": {"type": "string", "pattern": "^[0-9A-Fa-f]{16}$"},
}


# Schemas are published under these names, whatever the classes are called: other people's clients use them.
PUBLISHED_NAMES = {
    "CustomerLimits": "Held",
    "AgentSnapshot": "View",
    "OrderStateRecord": "BookState",
    "ProxyState": "State",
    "ProxyStatus": "DoorView",
    "QuotaStatus": "Standing",
}


def reference(kind: type) -> dict[str, str]:
    """A reference to the schema of a type, by its published name."""
    return {"$ref": TEMPLATE.format(name=published_name(kind.__name__))}


def published_name(class_name: str) -> str:
    """The name of a class in the published document."""
    return PUBLISHED_NAMES.get(class_name, class_name)


def published_schemas(schemas: dict[str, Any]) -> dict[str, Any]:
    """The generated schemas under their published names, sorted by name, references and titles included."""
    text = json.dumps(schemas)
    for class_name, published in PUBLISHED_NAMES.items():
        text = text.replace(f'"{class_name}"', f'"{published}"')
        text = text.replace(f'"{TEMPLATE.format(name=class_name)}"', f'"{TEMPLATE.format(name=published)}"')
    return dict(sorted(json.loads(text).items()))


def response(schema: dict[str, Any], media: str = "application/json") -> dict[str, Any]:
    """Return the description of a successful response."""
    return {"description": "the answer", "content": {media: {"schema": schema}}}


def call(
    summary: str,
    schema: dict[str, Any],
    *parameters: dict[str, Any],
    media: str = "application/json",
    **more: Any,  # noqa: ANN401
) -> dict[str, Any]:
    """Return the description of an operation."""
    problems = {
        status: {
            "description": text,
            "content": {"application/json": {"schema": reference(api_bodies.Problem)}},
        }
        for status, text in PROBLEMS.items()
    }
    operation: dict[str, Any] = {
        "summary": summary,
        "responses": {"200": response(schema, media), **problems},
    }
    return operation | ({"parameters": list(parameters)} if parameters else {}) | more


def paths() -> dict[str, Any]:
    """Return the description of all routes."""
    messages = {"oneOf": [reference(kind) for kind in MESSAGES]}
    state = call("the book, where it is past a revision", reference(orders.OrderStateRecord), AFTER)
    state["responses"]["204"] = {"description": "it is not past it"}
    take = call(
        "a message of the agreement, and the replies to it",
        {"type": "array", "items": messages},
        requestBody={"required": True, "content": {"application/json": {"schema": messages}}},
    )
    take["responses"]["413"] = {"description": "a body that is too large"}
    events = {"type": "array", "items": reference(api_bodies.Event)}
    return {
        "/v1/status": {"get": call("the agent and its front doors", reference(api_bodies.Status))},
        "/v1/view": {
            "get": call("all that a tool needs to give an order", reference(api_bodies.AgentSnapshot))
        },
        "/v1/members": {"get": call("servers as each front door sees them", reference(api_bodies.Members))},
        "/v1/orders": {
            "get": call("orders in force, the latest, one under way", reference(api_bodies.Orders))
        },
        "/v1/quota/{customer}": {"get": call("a customer's quota", reference(api_bodies.Quota), CUSTOMER)},
        "/v1/book": {"get": state},
        "/v1/events": {"get": call("the history past a number", events, AFTER)},
        "/v1/watch": {
            "get": call(
                "events as they happen, one JSON object a line",
                reference(api_bodies.Event),
                media="application/x-ndjson",
            )
        },
        "/v1/agreement": {"post": take},
        "/v1/openapi.json": {"get": call("this document", {"type": "object"})},
    }


def document() -> dict[str, Any]:
    """Return the whole document."""
    _, schemas = msgspec.json.schema_components((*BODIES, *MESSAGES), ref_template=TEMPLATE)
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "molereach agent",
            "version": __version__,
            "description": "State of an agent's front doors, and the agreement on orders. The same over "
            "HTTP/1.1 and HTTP/2.",
        },
        "security": [{"token": []}],
        "paths": paths(),
        "components": {
            "schemas": published_schemas(schemas),
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def text() -> str:
    """Return the document as it is published."""
    return json.dumps(document(), indent=1, sort_keys=True) + "\n"


if __name__ == "__main__":
    print(text(), end="")
