"""Commands of operators, one function each, whose results print as text or JSON."""

import dataclasses
import json
import secrets
import tomllib

from bronzemux import (
    config,
    config_check,
    config_edit,
    config_store,
    errors,
    findings,
    operator_api,
)
from bronzemux.platform import document_check

KEY_BYTES = 24
PREVIOUS_KEYS_KEPT = 1
# Exit statuses of a check of a configuration, for scripts.
STATUS_ERRORS = 1
STATUS_WARNINGS = 5


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a command.

    Attributes:
      text: Human-readable output.
      data: JSON-compatible output with the same content.
      status: Exit status of the command.
    """

    text: str
    data: object
    status: int = 0


def check_config(text: str, in_force: str | None = None) -> Result:
    """Check a configuration document, and compare it with another one.

    Args:
      text: The document.
      in_force: Document in force, None for no comparison.

    Raises:
      errors.ConfigError: With every problem found.
    """
    document = config.loads(text)
    counts = {field: len(getattr(document, field)) for field in ("teams", "endpoints", "workloads")}
    summary = ", ".join(f"{count} {field}" for field, count in counts.items())
    changes = None
    if in_force is not None:
        config.loads(in_force)
        changes = list(findings.changes(tomllib.loads(in_force), tomllib.loads(text)))
    return _check_result(
        f"configuration is valid: {summary}", counts, config_check.check(text), changes
    )


def check_platform_config(data: bytes, in_force: bytes | None = None) -> Result:
    """Check a configuration document of the platform, and compare it with another one.

    Args:
      data: The document, as the operator writes it to the store.
      in_force: Document in force, None for no comparison.

    Raises:
      errors.BronzemuxError: When the document in force is malformed.
    """
    found = document_check.check(data)
    is_readable = all(item.place != findings.WHOLE_DOCUMENT for item in found)
    has_changes = in_force is not None and is_readable
    changes = document_check.changes(data, in_force) if has_changes else None
    is_valid = not any(item.severity is findings.Severity.ERROR for item in found)
    summary = f"configuration is {'valid' if is_valid else 'not valid'}"
    return _check_result(summary, {}, found, changes)


def _check_result(
    summary: str, counts: dict[str, int], found: list[findings.Finding], changes: list[str] | None
) -> Result:
    lines = [summary, *map(str, found)]
    if changes is not None:
        lines += changes or ["no difference from the document in force"]
    data = dict(counts)
    data["findings"] = [
        dataclasses.asdict(item) | {"severity": item.severity.value} for item in found
    ]
    if changes is not None:
        data["changes"] = changes
    is_valid = not any(item.severity is findings.Severity.ERROR for item in found)
    status = 0 if not found else STATUS_WARNINGS if is_valid else STATUS_ERRORS
    return Result("\n".join(lines), data, status)


def apply_config(
    access: config_store.ConfigAccess,
    text: str,
    expected: int | None,
    operator: str,
    summary: str = "",
) -> Result:
    """Replace the whole configuration document.

    Args:
      access: Access to the accepted configurations.
      text: The new document.
      expected: Version that must be in force, None to use the version read now.
      operator: Name of the operator.
      summary: Description of the change.
    """
    if expected is None:
        head = access.read()
        expected = head.version if head else 0
    change = config_store.Change(expected, text, operator, summary or "whole document")
    return _accepted_result(access.apply(change))


def show_config(access: config_store.ConfigAccess) -> Result:
    """Return the document in force."""
    head = _read_head(access)
    return Result(head.text, dataclasses.asdict(head))


def config_history(access: config_store.ConfigAccess) -> Result:
    """Return the accepted changes with operator and time, newest first."""
    heads = access.history()
    lines = [f"{h.version:6d}  {h.at}  {h.operator}: {h.summary}" for h in heads]
    fields = ("version", "at", "operator", "summary", "change_id")
    data = [{field: getattr(head, field) for field in fields} for head in heads]
    return Result("\n".join(lines), data)


def diff_config(access: config_store.ConfigAccess, old: int, new: int) -> Result:
    """Return the difference between two accepted versions."""
    texts = [access.read_version(number).text for number in (old, new)]
    text = config_edit.diff(*texts, (f"version {old}", f"version {new}"))
    return Result(text or "no difference", {"old": old, "new": new, "diff": text})


def rollback_config(access: config_store.ConfigAccess, version: int, operator: str) -> Result:
    """Apply an earlier document again, as a new version."""
    head = _read_head(access)
    text = access.read_version(version).text
    change = config_store.Change(head.version, text, operator, f"rollback to version {version}")
    return _accepted_result(access.apply(change))


def edit_config(
    access: config_store.ConfigAccess, edit: config_edit.Edit, operator: str, summary: str
) -> Result:
    """Apply an edit to the document in force."""
    head = _read_head(access)
    text = config_edit.apply(head.text, edit)
    change = config_store.Change(head.version, text, operator, summary)
    return _accepted_result(access.apply(change))


def list_presets(access: config_store.ConfigAccess) -> Result:
    """Return the presets, with the one in force marked."""
    document = _read_head(access).document()
    names = [preset.name for preset in document.presets]
    lines = [f"{'*' if name == document.preset else ' '} {name}" for name in names]
    return Result("\n".join(lines), {"in_force": document.preset, "presets": names})


def use_preset(
    access: config_store.ConfigAccess, name: str, expected: str | None, operator: str
) -> Result:
    """Put a preset in force.

    Args:
      access: Access to the accepted configurations.
      name: Name of the preset.
      expected: Preset that must be in force before the change, None for any.
      operator: Name of the operator.

    Raises:
      errors.ConfigConflictError: When another preset is in force.
    """
    current = _read_head(access).document().preset
    if expected is not None and current != expected:
        raise errors.ConfigConflictError(
            f"expected preset {expected!r}, found {current!r}", "check `preset list` and retry"
        )
    return edit_config(access, config_edit.set_preset(name), operator, f"preset {name}")


def add_team(access, name: str, models, services, operator: str) -> Result:
    """Add a team and return its first API key, of which only the digest is stored."""
    key = secrets.token_urlsafe(KEY_BYTES)
    edit = config_edit.add_team(name, config.digest_key(key), models, services)
    result = edit_config(access, edit, operator, f"team {name} added")
    return Result(f"{result.text}\nkey {key}", {**result.data, "key": key})


def rotate_key(access, team: str, operator: str) -> Result:
    """Give a team a new API key; the most recent previous key stays valid."""
    key = secrets.token_urlsafe(KEY_BYTES)
    edit = config_edit.rotate_key(team, config.digest_key(key), PREVIOUS_KEYS_KEPT)
    result = edit_config(access, edit, operator, f"key of team {team} rotated")
    return Result(f"{result.text}\nkey {key}", {**result.data, "key": key})


def start_rollout(access, model: str, version: str, operator: str) -> Result:
    """Start the gradual rollout of a weights version.

    Raises:
      errors.ConfigConflictError: When a rollout of the model to another version is in progress.
    """
    found = _find_model(access, model)
    if found.next_weights_version not in ("", version):
        raise errors.ConfigConflictError(
            f"a rollout to {found.next_weights_version!r} is in progress", "stop it first"
        )
    edit = config_edit.set_rollout(model, version)
    return edit_config(access, edit, operator, f"rollout of {model} {version} started")


def rollout_status(access: config_store.ConfigAccess, address: str) -> Result:
    """Return the weights versions in force, and those loaded at the endpoints of a router.

    Args:
      access: Access to the accepted configurations.
      address: URL of the router, or its IP address and port.
    """
    document = _read_head(access).document()
    endpoints = router_status(address).data["endpoints"]
    lines, data = [], []
    for model in document.models:
        weights = {e["name"]: e["weights"].get(model.name, "") for e in endpoints if e["weights"]}
        state = "paused" if model.is_rollout_paused else "in progress"
        target = f", to {model.next_weights_version} {state}" * bool(model.next_weights_version)
        lines.append(f"{model.name}: {model.weights_version} in force{target}")
        lines += [f"  {name:24s} {version}" for name, version in weights.items()]
        data.append({**dataclasses.asdict(model), "endpoints": weights})
    return Result("\n".join(lines), data)


def _find_model(access: config_store.ConfigAccess, name: str) -> config.Model:
    for model in _read_head(access).document().models:
        if model.name == name:
            return model
    raise errors.NotFoundError(f"no model {name!r}", "list them with `config show`")


def router_status(address: str) -> Result:
    """Return the status of one router."""
    response = operator_api.send_request(address, "/status")
    data = json.loads(response.body)
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
            + (f", software {item['software']}" if item.get("software") else "")
        )
    return Result("\n".join(lines), data)


def all_status(address: str) -> Result:
    """Return the status of every router that a router lists, or the error of reading it."""
    located = json.loads(operator_api.send_request(address, "/v1/locate?all=true").body)
    results = []
    for item in located["routers"]:
        try:
            results.append(router_status(item["address"]))
        except errors.EndpointError as error:
            results.append(Result(f"router {item['name']}: {error}", {"router": item["name"]}))
    return Result("\n".join(r.text for r in results), [r.data for r in results])


def list_members(address: str) -> Result:
    """Return the members that a router knows, with state and configuration version."""
    members = json.loads(operator_api.send_request(address, "/status").body)["members"]
    lines = [
        f"{m['name']:20s} {m['data_centre']:14s} {m['state']:8s} version {m['version']}"
        for m in members
    ]
    return Result("\n".join(lines), members)


def list_endpoints(address: str) -> Result:
    """Return the status of the endpoints as reported by a router."""
    status = router_status(address)
    lines = status.text.splitlines()[1:]
    return Result("\n".join(lines), status.data["endpoints"])


def _read_head(access: config_store.ConfigAccess) -> config_store.Head:
    """Return the configuration in force.

    Raises:
      errors.ConfigConflictError: Before the first configuration is accepted.
    """
    head = access.read()
    if head is None:
        raise errors.ConfigConflictError(
            "there is no configuration yet", "apply one with `config apply FILE`"
        )
    return head


def _accepted_result(head: config_store.Head) -> Result:
    data = {"version": head.version, "change_id": head.change_id}
    return Result(f"accepted as version {head.version}", data)
