"""Edits of configuration documents that keep comments and order, through tomlkit."""

import difflib
from collections.abc import Callable, Sequence

import tomlkit

from bronzemux import config, errors

Edit = Callable[[tomlkit.TOMLDocument], None]


def apply(text: str, function: Edit) -> str:
    """Return a document after an edit.

    Args:
      text: TOML document.
      function: Changes the parsed document.
    """
    document = tomlkit.parse(text)
    function(document)
    return tomlkit.dumps(document)


def set_preset(name: str) -> Edit:
    """Return the edit that puts a preset in force."""

    def change(document: tomlkit.TOMLDocument) -> None:
        document["preset"] = name

    return change


def set_drained(field: str, name: str, is_drained: bool) -> Edit:
    """Return the edit that takes something out of service or back.

    Args:
      field: Field of `config.Operations`.
      name: Name of the endpoint or VM.
      is_drained: Whether it gets no new work.
    """

    def change(document: tomlkit.TOMLDocument) -> None:
        operations = document.setdefault("operations", tomlkit.table())
        names = [item for item in operations.get(field, []) if item != name]
        operations[field] = [*names, name] if is_drained else names

    return change


def add_team(name: str, digest: str, models: Sequence[str], services: Sequence[str]) -> Edit:
    """Return the edit that adds a team with one key."""

    def change(document: tomlkit.TOMLDocument) -> None:
        if any(team["name"] == name for team in document["teams"]):
            raise errors.ConfigConflictError(f"team {name!r} exists", "choose another name")
        team = tomlkit.table()
        team["name"] = name
        team["key_digests"] = [digest]
        team["models"] = list(models)
        team["services"] = list(services)
        document["teams"].append(team)

    return change


def rotate_key(team: str, digest: str, keep: int) -> Edit:
    """Return the edit that adds a key to a team and keeps the newest old ones.

    Args:
      team: Name of the team.
      digest: Digest of the new key.
      keep: Number of earlier keys that stay valid.
    """

    def change(document: tomlkit.TOMLDocument) -> None:
        entry = _item(document, "teams", team)
        entry["key_digests"] = [digest, *list(entry["key_digests"])[:keep]]

    return change


def set_limits(team: str, limits: config.Limits) -> Edit:
    """Return the edit that sets a team's limits."""

    def change(document: tomlkit.TOMLDocument) -> None:
        _item(document, "teams", team)["limits"] = {
            "requests_per_second": limits.requests_per_second,
            "tokens_per_second": limits.tokens_per_second,
            "concurrency": limits.concurrency,
        }

    return change


def set_rollout(model: str, version: str, is_paused: bool = False) -> Edit:
    """Return the edit that starts, pauses or resumes a rollout; an empty version ends it."""

    def change(document: tomlkit.TOMLDocument) -> None:
        entry = _item(document, "models", model)
        entry["next_weights_version"] = version
        entry["is_rollout_paused"] = is_paused

    return change


def pause_rollout(model: str, is_paused: bool) -> Edit:
    """Return the edit that pauses or resumes the rollout of a model.

    Raises:
      errors.ConfigConflictError: When none is under way.
    """

    def change(document: tomlkit.TOMLDocument) -> None:
        entry = _item(document, "models", model)
        if not entry.get("next_weights_version"):
            raise errors.ConfigConflictError(
                f"no rollout of {model!r} is under way", "start one with `rollout start`"
            )
        entry["is_rollout_paused"] = is_paused

    return change


def finish_rollout(model: str) -> Edit:
    """Return the edit that puts the version that was rolled out in force."""

    def change(document: tomlkit.TOMLDocument) -> None:
        entry = _item(document, "models", model)
        entry["weights_version"] = entry["next_weights_version"]
        entry["next_weights_version"] = ""
        entry["is_rollout_paused"] = False

    return change


def set_adapter(model: str, name: str, version: str) -> Edit:
    """Return the edit that gives a model an adapter in a version; an empty one removes it."""

    def change(document: tomlkit.TOMLDocument) -> None:
        entry = _item(document, "models", model)
        kept = [item for item in entry.get("adapters", []) if item["name"] != name]
        added = [{"name": name, "version": version}] if version else []
        entry["adapters"] = [*kept, *added]

    return change


def set_role(endpoint: str, role: str) -> Edit:
    """Return the edit that has an endpoint take a role."""

    def change(document: tomlkit.TOMLDocument) -> None:
        _item(document, "endpoints", endpoint)["role"] = role

    return change


def diff(old: str, new: str, names: tuple[str, str]) -> str:
    """Return the unified difference of two documents."""
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), names[0], names[1]
    )
    return "".join(lines)


def _item(document: tomlkit.TOMLDocument, field: str, name: str):
    for entry in document.get(field, []):
        if entry["name"] == name:
            return entry
    raise errors.NotFoundError(f"no entry {name!r} in {field}", "list them with `config show`")
