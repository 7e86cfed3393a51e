"""Next order for an endpoint, derived from the configuration and from its reported state."""

from bronzemux import config, engine, fleet


def desired_version(model: config.Model) -> str:
    """Return the weights version that all endpoints of a model should have.

    Args:
      model: The model.
    """
    return model.next_weights_version or model.weights_version


def next_order(
    model: config.Model, endpoint: config.Endpoint, state: fleet.EndpointState
) -> engine.Order | None:
    """Return the next order for an endpoint, without a fencing token; None when it needs none.

    Weights are ordered before adapters, and adapters before the role. An endpoint that does not
    report its weights, adapters or role gets no order for them. The role is ordered only with the
    first model of the endpoint.

    Args:
      model: Model of the endpoint.
      endpoint: The endpoint.
      state: State that the endpoint reported.
    """
    version = desired_version(model)
    if state.weights.get(model.name, "") not in ("", version):
        return engine.Order(model.name, version, 0)
    for adapter in model.adapters if state.adapters is not None else ():
        if state.adapters.get(engine.adapter_key(model.name, adapter.name)) != adapter.version:
            return engine.Order(model.name, "", 0, adapter=f"{adapter.name}@{adapter.version}")
    is_first = endpoint.models[0] == model.name
    if is_first and endpoint.role and state.role not in ("", endpoint.role):
        return engine.Order(model.name, "", 0, role=endpoint.role)
    return None


def is_executed(order: engine.Order, state: fleet.EndpointState) -> bool:
    """Return whether an endpoint reports what an order names.

    Args:
      order: The order.
      state: State that the endpoint reported.
    """
    if order.weights_version:
        return state.weights.get(order.model) == order.weights_version
    if order.adapter:
        name, _, version = order.adapter.partition("@")
        return (state.adapters or {}).get(engine.adapter_key(order.model, name)) == version
    return state.role == order.role
