"""Edits of configuration documents that preserve comments and order, with tomlkit."""

import difflib
from collections.abc import Callable, Sequence

import tomlkit

from bronzemux import config, errors

Edit = Callable[[tomlkit.TOMLDocument], None]


def apply(text: str, edit: Edit) -> str:
    """Return a document with an edit applied.

    Args:
      text: TOML document.
      edit: Modifies the parsed document in place.
    """
    document = tomlkit.parse(text)
    edit(document)
    return tomlkit.dumps(document)


def set_preset(name: str) -> Edit:
    """Return the edit that puts a preset in force."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        document["preset"] = name

    return modify


def set_drained(field: str, name: str, is_drained: bool) -> Edit:
    """Return the edit that drains an endpoint or VM, or puts it back into service.

    Args:
      field: Field of `config.Operations` that lists the drained endpoints or VMs.
      name: Name of the endpoint or VM.
      is_drained: Whether it gets no new requests.
    """

    def modify(document: tomlkit.TOMLDocument) -> None:
        operations = document.setdefault("operations", tomlkit.table())
        names = [item for item in operations.get(field, []) if item != name]
        operations[field] = [*names, name] if is_drained else names

    return modify


def add_team(name: str, digest: str, models: Sequence[str], services: Sequence[str]) -> Edit:
    """Return the edit that adds a team with one API key.

    Raises:
      errors.ConfigConflictError: By the edit, when a team of this name exists.
    """

    def modify(document: tomlkit.TOMLDocument) -> None:
        if any(team["name"] == name for team in document["teams"]):
            raise errors.ConfigConflictError(f"team {name!r} already exists", "choose another name")
        team = tomlkit.table()
        team["name"] = name
        team["key_digests"] = [digest]
        team["models"] = list(models)
        team["services"] = list(services)
        document["teams"].append(team)

    return modify


def rotate_key(team: str, digest: str, kept_keys: int) -> Edit:
    """Return the edit that adds a new key to a team and keeps its newest earlier keys.

    Args:
      team: Name of the team.
      digest: Digest of the new key.
      kept_keys: Number of earlier keys that stay valid.
    """

    def modify(document: tomlkit.TOMLDocument) -> None:
        entry = _entry(document, "teams", team)
        entry["key_digests"] = [digest, *list(entry["key_digests"])[:kept_keys]]

    return modify


def set_limits(team: str, limits: config.Limits) -> Edit:
    """Return the edit that sets the limits of a team."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        _entry(document, "teams", team)["limits"] = {
            "requests_per_second": limits.requests_per_second,
            "tokens_per_second": limits.tokens_per_second,
            "concurrency": limits.concurrency,
        }

    return modify


def set_rollout(model: str, version: str, is_paused: bool = False) -> Edit:
    """Return the edit that starts, pauses or resumes a rollout; an empty version cancels it."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        entry = _entry(document, "models", model)
        entry["next_weights_version"] = version
        entry["is_rollout_paused"] = is_paused

    return modify


def pause_rollout(model: str, is_paused: bool) -> Edit:
    """Return the edit that pauses or resumes the rollout of a model.

    Raises:
      errors.ConfigConflictError: By the edit, when the model has no rollout in progress.
    """

    def modify(document: tomlkit.TOMLDocument) -> None:
        entry = _entry(document, "models", model)
        if not entry.get("next_weights_version"):
            raise errors.ConfigConflictError(
                f"no rollout of {model!r} is in progress", "start one with `rollout start`"
            )
        entry["is_rollout_paused"] = is_paused

    return modify


def finish_rollout(model: str) -> Edit:
    """Return the edit that makes the version that was rolled out the current one."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        entry = _entry(document, "models", model)
        entry["weights_version"] = entry["next_weights_version"]
        entry["next_weights_version"] = ""
        entry["is_rollout_paused"] = False

    return modify


def set_adapter(model: str, name: str, version: str) -> Edit:
    """Return the edit that sets the version of a model's adapter; an empty version removes it."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        entry = _entry(document, "models", model)
        kept = [item for item in entry.get("adapters", []) if item["name"] != name]
        added = [{"name": name, "version": version}] if version else []
        entry["adapters"] = [*kept, *added]

    return modify


def set_role(endpoint: str, role: str) -> Edit:
    """Return the edit that sets the role of an endpoint."""

    def modify(document: tomlkit.TOMLDocument) -> None:
        _entry(document, "endpoints", endpoint)["role"] = role

    return modify


def diff(old: str, new: str, names: tuple[str, str]) -> str:
    """Return the unified diff of two documents.

    Args:
      old: Old document.
      new: New document.
      names: Names of the old and the new document in the header of the diff.
    """
    lines = difflib.unified_diff(
        old.splitlines(keepends=True), new.splitlines(keepends=True), names[0], names[1]
    )
    return "".join(lines)


def _entry(document: tomlkit.TOMLDocument, field: str, name: str):
    for entry in document.get(field, []):
        if entry["name"] == name:
            return entry
    raise errors.NotFoundError(f"no entry {name!r} in {field}", "list them with `config show`")
