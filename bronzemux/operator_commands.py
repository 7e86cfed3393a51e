"""Operations of users and operators, each one function."""

import dataclasses
import json
import secrets

from bronzemux import config, config_edit, config_store, errors, operator_api

KEY_BYTES = 24
KEPT_KEYS = 1


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of an operation.

    Attributes:
      text: Lines for people.
      data: The same for programs, JSON-compatible.
    """

    text: str
    data: object


def check_config(text: str) -> Result:
    """Check a document.

    Raises:
      errors.ConfigError: With all mistakes.
    """
    document = config.loads(text)
    counts = {field: len(getattr(document, field)) for field in ("teams", "endpoints", "workloads")}
    listed = ", ".join(f"{count} {field}" for field, count in counts.items())
    return Result(f"configuration is good: {listed}", counts)


def apply_config(
    access: config_store.ConfigAccess, text: str, expected: int | None, who: str, summary: str = ""
) -> Result:
    """Accept a whole document.

    Args:
      access: Accepted configurations.
      text: The document.
      expected: Version that the operator saw, None for the version read now.
      who: Name of the operator.
      summary: What is changed.
    """
    if expected is None:
        head = access.read()
        expected = head.version if head else 0
    change = config_store.Change(expected, text, who, summary or "whole document")
    return _accepted(access.apply(change))


def show_config(access: config_store.ConfigAccess) -> Result:
    """Return the document in force."""
    head = _head(access)
    return Result(head.text, dataclasses.asdict(head))


def config_history(access: config_store.ConfigAccess) -> Result:
    """Return who changed what and when, the newest change first."""
    heads = access.history()
    lines = [f"{h.version:6d}  {h.at}  {h.operator}: {h.summary}" for h in heads]
    fields = ("version", "at", "operator", "summary", "change_id")
    data = [{field: getattr(head, field) for field in fields} for head in heads]
    return Result("\n".join(lines), data)


def diff_config(access: config_store.ConfigAccess, old: int, new: int) -> Result:
    """Return the difference between two accepted versions."""
    texts = [access.version(number).text for number in (old, new)]
    text = config_edit.difference(*texts, (f"version {old}", f"version {new}"))
    return Result(text or "no difference", {"old": old, "new": new, "diff": text})


def rollback_config(access: config_store.ConfigAccess, version: int, who: str) -> Result:
    """Accept an earlier document again, as a new version."""
    head = _head(access)
    text = access.version(version).text
    change = config_store.Change(head.version, text, who, f"rollback to version {version}")
    return _accepted(access.apply(change))


def edit_config(
    access: config_store.ConfigAccess, function: config_edit.Edit, who: str, summary: str
) -> Result:
    """Accept an edit of the document in force."""
    head = _head(access)
    text = config_edit.edit(head.text, function)
    change = config_store.Change(head.version, text, who, summary)
    return _accepted(access.apply(change))


def list_presets(access: config_store.ConfigAccess) -> Result:
    """Return the presets; the one in force is marked."""
    document = _head(access).document()
    names = [preset.name for preset in document.presets]
    lines = [f"{'*' if name == document.preset else ' '} {name}" for name in names]
    return Result("\n".join(lines), {"in_force": document.preset, "presets": names})


def use_preset(
    access: config_store.ConfigAccess, name: str, expected: str | None, who: str
) -> Result:
    """Put a preset in force.

    Args:
      access: Accepted configurations.
      name: Name of the preset.
      expected: Preset that the operator holds for the one in force, None for any.
      who: Name of the operator.

    Raises:
      errors.ConfigConflictError: When another preset is in force.
    """
    found = _head(access).document().preset
    if expected is not None and found != expected:
        raise errors.ConfigConflictError(
            f"expected preset {expected!r}, found {found!r}", "look at `preset list` and repeat"
        )
    return edit_config(access, config_edit.use_preset(name), who, f"preset {name}")


def add_team(access, name: str, models, services, who: str) -> Result:
    """Add a team and return its first key, which is not stored."""
    key = secrets.token_urlsafe(KEY_BYTES)
    change = config_edit.add_team(name, config.digest_key(key), models, services)
    result = edit_config(access, change, who, f"team {name} added")
    return Result(f"{result.text}\nkey {key}", {**result.data, "key": key})


def rotate_key(access, team: str, who: str) -> Result:
    """Give a team a new key; the newest earlier key stays valid."""
    key = secrets.token_urlsafe(KEY_BYTES)
    change = config_edit.rotate_key(team, config.digest_key(key), KEPT_KEYS)
    result = edit_config(access, change, who, f"key of team {team} rotated")
    return Result(f"{result.text}\nkey {key}", {**result.data, "key": key})


def start_rollout(access, model: str, version: str, who: str) -> Result:
    """Start rolling a weights version out, one step after the other.

    Raises:
      errors.ConfigConflictError: When another rollout of the model is under way.
    """
    found = _model(access, model)
    if found.next_weights_version not in ("", version):
        raise errors.ConfigConflictError(
            f"a rollout to {found.next_weights_version!r} is under way", "stop it first"
        )
    change = config_edit.set_rollout(model, version)
    return edit_config(access, change, who, f"rollout of {model} {version} started")


def rollout_status(access: config_store.ConfigAccess, address: str) -> Result:
    """Return the versions of all models and of their endpoints."""
    document = _head(access).document()
    endpoints = router_status(address).data["endpoints"]
    lines, data = [], []
    for model in document.models:
        weights = {e["name"]: e["weights"].get(model.name, "") for e in endpoints if e["weights"]}
        state = "paused" if model.is_rollout_paused else "under way"
        following = f", to {model.next_weights_version} {state}" * bool(model.next_weights_version)
        lines.append(f"{model.name}: {model.weights_version} in force{following}")
        lines += [f"  {name:24s} {version}" for name, version in weights.items()]
        data.append({**dataclasses.asdict(model), "endpoints": weights})
    return Result("\n".join(lines), data)


def _model(access: config_store.ConfigAccess, name: str) -> config.Model:
    for model in _head(access).document().models:
        if model.name == name:
            return model
    raise errors.NotFoundError(f"no model {name!r}", "list them with `config show`")


def router_status(address: str) -> Result:
    """Return the state of one router."""
    answer = operator_api.get(address, "/status")
    data = json.loads(answer.body)
    lines = [
        f"router {data['router']} in {data['data_centre']}: version {data['version']}, "
        f"preset {data['preset']}, {data['in_flight']} in flight, {data['waiting']} waiting"
        + (", draining" if data["is_draining"] else "")
    ]
    for item in data["endpoints"]:
        state = "drained" if item["is_drained"] else "up" if item["is_available"] else "down"
        lines.append(
            f"  {item['name']:24s} {state:8s} {item['in_flight']:4d} in flight, "
            f"{item['rate']:.0f} tokens/s, confidence {item['confidence']:.2f}"
        )
    return Result("\n".join(lines), data)


def all_status(address: str) -> Result:
    """Return the state of all routers that a router knows."""
    found = json.loads(operator_api.get(address, "/v1/locate?all=true").body)
    results = []
    for item in found["routers"]:
        try:
            results.append(router_status(item["address"]))
        except errors.EndpointError as error:
            results.append(Result(f"router {item['name']}: {error}", {"router": item["name"]}))
    return Result("\n".join(r.text for r in results), [r.data for r in results])


def list_members(address: str) -> Result:
    """Return the routers that a router knows."""
    members = json.loads(operator_api.get(address, "/status").body)["members"]
    lines = [
        f"{m['name']:20s} {m['data_centre']:14s} {m['state']:8s} version {m['version']}"
        for m in members
    ]
    return Result("\n".join(lines), members)


def list_endpoints(address: str) -> Result:
    """Return the endpoints as a router sees them."""
    status = router_status(address)
    lines = status.text.splitlines()[1:]
    return Result("\n".join(lines), status.data["endpoints"])


def _head(access: config_store.ConfigAccess) -> config_store.Head:
    head = access.read()
    if head is None:
        raise errors.ConfigConflictError(
            "there is no configuration yet", "apply one with `config apply FILE`"
        )
    return head


def _accepted(head: config_store.Head) -> Result:
    data = {"version": head.version, "change_id": head.change_id}
    return Result(f"accepted as version {head.version}", data)
