"""Generates the OpenAPI 3.1.0 description of the API from the types of its bodies.

`python -m molereach.fleet.agent.openapi` prints the content of `openapi.json`; a test checks that they match.
"""

import json
from typing import Any

import msgspec

from molereach import __version__
from molereach.fleet import agreement, api_bodies, orders

REFERENCE_TEMPLATE = "#/components/schemas/{name}"
MESSAGE_TYPES = (
    agreement.Prepare,
    agreement.Promise,
    agreement.Accept,
    agreement.Accepted,
    agreement.Outbid,
    agreement.Known,
    agreement.Behind,
)
BODY_TYPES = (
    api_bodies.Status,
    api_bodies.AgentSnapshot,
    api_bodies.Members,
    api_bodies.Orders,
    api_bodies.Quota,
    api_bodies.Event,
    api_bodies.Problem,
    orders.OrderStateRecord,
)
PROBLEM_DESCRIPTIONS = {
    "400": "what came makes no sense",
    "401": "no token that is known",
    "403": "not with this role",
    "503": "not now",
}

AFTER_PARAMETER = {
    "name": "after",
    "in": "query",
    "required": False,
    "schema": {"type": "integer", "minimum": 0},
}
CUSTOMER_PARAMETER = {
    "name": "customer",
    "in": "path",
    "required": True,
    "schema": {"type": "string", "pattern": "^[0-9A-Fa-f]{16}$"},
}


# Published schema names by class name. Generated clients depend on them, so renaming a class changes none.
PUBLISHED_SCHEMA_NAMES = {
    "CustomerLimits": "Held",
    "AgentSnapshot": "View",
    "OrderStateRecord": "BookState",
    "ProxyState": "State",
    "ProxyStatus": "DoorView",
    "QuotaStatus": "Standing",
}


def schema_reference(body_type: type) -> dict[str, str]:
    """Return a reference to the published schema of a type."""
    return {"$ref": REFERENCE_TEMPLATE.format(name=published_schema_name(body_type.__name__))}


def published_schema_name(class_name: str) -> str:
    """Return the published schema name of a class."""
    return PUBLISHED_SCHEMA_NAMES.get(class_name, class_name)


def published_schemas(schemas: dict[str, Any]) -> dict[str, Any]:
    """Return the schemas with published names, in references and titles as well, sorted by name."""
    schemas_json = json.dumps(schemas)
    for class_name, published in PUBLISHED_SCHEMA_NAMES.items():
        schemas_json = schemas_json.replace(f'"{class_name}"', f'"{published}"')
        schemas_json = schemas_json.replace(
            f'"{REFERENCE_TEMPLATE.format(name=class_name)}"',
            f'"{REFERENCE_TEMPLATE.format(name=published)}"',
        )
    return dict(sorted(json.loads(schemas_json).items()))


def success_response(schema: dict[str, Any], media_type: str = "application/json") -> dict[str, Any]:
    """Return the description of a successful response."""
    return {"description": "the answer", "content": {media_type: {"schema": schema}}}


def operation(
    summary: str,
    schema: dict[str, Any],
    *parameters: dict[str, Any],
    media_type: str = "application/json",
    **extra_fields: Any,  # noqa: ANN401
) -> dict[str, Any]:
    """Return the description of an operation."""
    problems = {
        status: {
            "description": problem,
            "content": {"application/json": {"schema": schema_reference(api_bodies.Problem)}},
        }
        for status, problem in PROBLEM_DESCRIPTIONS.items()
    }
    description: dict[str, Any] = {
        "summary": summary,
        "responses": {"200": success_response(schema, media_type), **problems},
    }
    return description | ({"parameters": list(parameters)} if parameters else {}) | extra_fields


def path_items() -> dict[str, Any]:
    """Return the description of all routes."""
    messages = {"oneOf": [schema_reference(message_type) for message_type in MESSAGE_TYPES]}
    order_state = operation(
        "the book, where it is past a revision", schema_reference(orders.OrderStateRecord), AFTER_PARAMETER
    )
    order_state["responses"]["204"] = {"description": "it is not past it"}
    agreement_operation = operation(
        "a message of the agreement, and the replies to it",
        {"type": "array", "items": messages},
        requestBody={"required": True, "content": {"application/json": {"schema": messages}}},
    )
    agreement_operation["responses"]["413"] = {"description": "a body that is too large"}
    events = {"type": "array", "items": schema_reference(api_bodies.Event)}
    return {
        "/v1/status": {
            "get": operation("the agent and its front doors", schema_reference(api_bodies.Status))
        },
        "/v1/view": {
            "get": operation(
                "all that a tool needs to give an order", schema_reference(api_bodies.AgentSnapshot)
            )
        },
        "/v1/members": {
            "get": operation("servers as each front door sees them", schema_reference(api_bodies.Members))
        },
        "/v1/orders": {
            "get": operation(
                "orders in force, the latest, one under way", schema_reference(api_bodies.Orders)
            )
        },
        "/v1/quota/{customer}": {
            "get": operation("a customer's quota", schema_reference(api_bodies.Quota), CUSTOMER_PARAMETER)
        },
        "/v1/book": {"get": order_state},
        "/v1/events": {"get": operation("the history past a number", events, AFTER_PARAMETER)},
        "/v1/watch": {
            "get": operation(
                "events as they happen, one JSON object a line",
                schema_reference(api_bodies.Event),
                media_type="application/x-ndjson",
            )
        },
        "/v1/agreement": {"post": agreement_operation},
        "/v1/openapi.json": {"get": operation("this document", {"type": "object"})},
    }


def document() -> dict[str, Any]:
    """Return the whole OpenAPI document."""
    _, schemas = msgspec.json.schema_components(
        (*BODY_TYPES, *MESSAGE_TYPES), ref_template=REFERENCE_TEMPLATE
    )
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "molereach agent",
            "version": __version__,
            "description": "State of an agent's front doors, and the agreement on orders. The same over "
            "HTTP/1.1 and HTTP/2.",
        },
        "security": [{"token": []}],
        "paths": path_items(),
        "components": {
            "schemas": published_schemas(schemas),
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def document_text() -> str:
    """Return the content of `openapi.json`."""
    return json.dumps(document(), indent=1, sort_keys=True) + "\n"


if __name__ == "__main__":
    print(document_text(), end="")
