"""Which requests share an engine: pure functions of the load of all endpoints of a service.

An engine reads prompts in pieces, between the steps of the streams that it writes, so a stream
beside long prompts pauses. Requests that mostly write are therefore gathered on a few endpoints,
the group of writers, and those that mostly read go to the others. Both are preferences with a cost,
so that each endpoint remains usable for each request.

Routers agree on the group without messages of its own: it is the beginning of an order that all
share, and as long as the streams of all routers require. A router that decides on older loads
differs in the last endpoint at most a few times.
"""

import hashlib

from bronzemux.gateway import endpoints, model

# Tokens of a prompt that an engine reads in one step.
PIECE_TOKENS = 2048
# A request mostly writes if it makes this many events for each step that reads its prompt, and the
# prompt is no longer than a few steps: beside streams, a long one does harm whatever it writes.
MIN_EVENTS_PER_STEP = 2.0
MAX_WRITER_STEPS = 2.0
# Fraction of the slots in the group that its streams take. The rest allows for loads that are a
# status message old.
SLOT_FRACTION = 0.75
# Fractions of the endpoints that the group has at least and at most.
MIN_FRACTION, MAX_FRACTION = 0.1, 0.34
# Cost of each rank in the order of rendezvous hashing, for a stream: its shared parts are short, so
# it goes where few streams run, not where they are cached.
RANK_SECONDS = 0.002
# Cost of a stream at an endpoint outside the group, where prompts are read beside it: about half of
# that of a late response.
OUTSIDE_SECONDS = 0.3
# Cost of a long prompt at an endpoint of the group, besides that for the streams which run there.
INSIDE_SECONDS = 0.1
# Cost of each second for which a prompt is read beside a stream: about three late responses.
PAUSE_COST = 2.0
# Cost of an endpoint of the group with as many requests as slots, for one more stream.
FULL_SECONDS = 0.25


def tokens_per_event(
    config: model.Configuration, service: model.Service | None, min_pause_seconds: float
) -> int:
    """Return the tokens in one event, 0 where requests are placed regardless of their neighbours.

    Args:
      config: The configuration.
      service: The service, None for an unknown one.
      min_pause_seconds: Least pause objective of a stream route for which neighbours count.
    """
    if service is None or service.engine is None:
        return 0
    pause = config.pause_objectives.get(service.name, 0.0)
    return service.engine.tokens_per_event if pause >= min_pause_seconds else 0


def is_writer(prompt: model.Prompt, event_tokens: int) -> bool:
    """Return whether a request mostly writes.

    Args:
      prompt: Description of its prompt.
      event_tokens: Tokens in one event of a stream.
    """
    steps = prompt.tokens / PIECE_TOKENS
    if steps > MAX_WRITER_STEPS:
        return False
    return prompt.expected_output_tokens > MIN_EVENTS_PER_STEP * steps * event_tokens


def writer_group(states: list[endpoints.EndpointState], loads) -> frozenset[str]:
    """Return the identities of the endpoints on which streams are gathered.

    Args:
      states: Endpoints that may get a request.
      loads: Results of `EndpointState.all_loads`, by identity.
    """
    left = sum(loads[state.endpoint.id][4] for state in states)
    least, most = MIN_FRACTION * len(states), MAX_FRACTION * len(states)
    group: list[str] = []
    for state in sorted(states, key=group_rank):
        if len(group) + 1 > most:
            break
        group.append(state.endpoint.id)
        left -= SLOT_FRACTION * state.endpoint.slots
        # One endpoint more than is needed now, for streams that are not reported yet.
        if left <= -SLOT_FRACTION * state.endpoint.slots and len(group) >= least:
            break
    return frozenset(group)


def group_rank(state: endpoints.EndpointState) -> bytes:
    """Return the sort key of an endpoint in the order in which endpoints join the group."""
    if not state.group_rank:
        state.group_rank = hashlib.blake2b(b"group" + state.hash_name, digest_size=8).digest()
    return state.group_rank


def added_cost(
    state: endpoints.EndpointState,
    load,
    is_preferred: bool,
    is_writing: bool,
    reading_seconds: float,
    waiting_seconds: float,
) -> float:
    """Return what a request costs at an endpoint because of the requests beside it, in seconds.

    Args:
      state: The endpoint.
      load: Result of its method `all_loads`.
      is_preferred: Whether the endpoint is on the request's side of the group.
      is_writing: Whether the request mostly writes.
      reading_seconds: Time for which its prompt is read there.
      waiting_seconds: Time for which the prompts before it are read there.
    """
    if not is_writing:
        cost = PAUSE_COST * reading_seconds * load[4]
        return cost if is_preferred else cost + INSIDE_SECONDS
    cost = PAUSE_COST * waiting_seconds + FULL_SECONDS * (load[0] / state.endpoint.slots) ** 2
    return cost if is_preferred else cost + OUTSIDE_SECONDS
