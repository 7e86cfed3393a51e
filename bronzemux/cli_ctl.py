"""Command bronzemux-ctl: command line of the operators."""

from bronzemux import patching

patching.patch_all()

import getpass
import json
import pathlib
import sys
import time

from absl import flags

from bronzemux import (
    config,
    config_edit,
    config_store,
    decimal_digits,
    errors,
    operator_api,
    porcelain,
    settings,
)

FLAGS = flags.FLAGS
flags.DEFINE_string("router", "http://127.0.0.1:8080", "URL of a router.")
flags.DEFINE_string("operator_key", "", "API key of the operator, for requests to the router.")
flags.DEFINE_string(
    "operator", getpass.getuser(), "Name of the operator in the configuration history."
)
flags.DEFINE_string("platform", "", "IP:PORT of the table service, to use it directly.")
flags.DEFINE_enum("output", "text", ["text", "json"], "Output format.")
flags.DEFINE_boolean("yes", False, "Do not ask for confirmation before dangerous changes.")
flags.DEFINE_boolean("watch", False, "Repeat the command until interrupted.")
flags.DEFINE_float("interval", 2.0, "Seconds between repeats with --watch.", lower_bound=0.1)
flags.DEFINE_enum(
    "form",
    "product",
    ["product", "platform"],
    "Form of the document that `config check` reads: TOML of the product, or JSON of the platform.",
)
flags.DEFINE_string(
    "in_force", None, "File with the document in force, with which `config check` compares."
)
flags.DEFINE_string("expect", None, "Version or preset that must be in force before the change.")
flags.DEFINE_list("models", [], "Models that a new team may use.")
flags.DEFINE_list("services", [], "Services that a new team may use.")
flags.DEFINE_float("requests_per_second", 100.0, "Request rate limit of a team.", lower_bound=0.001)
flags.DEFINE_float("tokens_per_second", 1e6, "Token rate limit of a team.", lower_bound=1.0)
flags.DEFINE_integer("concurrency", 128, "Limit on concurrent requests of a team.", lower_bound=1)

EXIT_FAILED = 1
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
USAGE = """\
usage: bronzemux-ctl [flags] COMMAND
  config check FILE | apply FILE | show | history | diff OLD NEW | rollback VERSION
  preset list | use NAME
  endpoint list | drain NAME | undrain NAME | role NAME ROLE
  adapter set MODEL NAME VERSION | remove MODEL NAME
  vm drain NAME | undrain NAME
  team add NAME | rotate-key NAME | limits NAME
  rollout start MODEL VERSION | pause MODEL | resume MODEL | stop MODEL | status
  members | status | key digest KEY
see --help for flags and docs/OPERATING.md for examples
"""


def main() -> None:
    """Run one command and exit with its status."""
    arguments = settings.parse_flags(sys.argv)
    command, command_arguments = find_command(arguments)
    try:
        sys.exit(run(command, command_arguments))
    except errors.ConfigError as error:
        problems = [f"  {problem}" for problem in error.exceptions]
        settings.exit_with_error("\n".join([error.message, *problems]), EXIT_FAILED)
    except errors.ConfigConflictError as error:
        settings.exit_with_error(str(error), EXIT_CONFLICT)
    except (errors.PlatformError, errors.EndpointError) as error:
        settings.exit_with_error(str(error), EXIT_UNREACHABLE)
    except (errors.BronzemuxError, OSError) as error:
        settings.exit_with_error(str(error), EXIT_FAILED)


def run(command, arguments: list[str]) -> int:
    """Run a command and print its result, repeatedly with --watch.

    Returns:
      Exit status.
    """
    while True:
        result = command(*arguments)
        is_json = FLAGS.output == "json"
        print(json.dumps(result.data, indent=2) if is_json else result.text, flush=True)
        if not FLAGS.watch:
            return result.status
        time.sleep(FLAGS.interval)


def find_command(arguments: list[str]):
    """Return the function and arguments of a command; exit with 2 when there is none."""
    for length in (2, 1):
        name = " ".join(arguments[:length])
        if name in COMMANDS:
            function, argument_count = COMMANDS[name]
            if len(arguments) - length == argument_count:
                return function, arguments[length:]
    print(USAGE, file=sys.stderr)
    settings.exit_with_error(f"no command {' '.join(arguments)!r} with these arguments")


def open_access() -> config_store.ConfigAccess:
    """Return access to the accepted configurations, through the service that the flags select."""
    return operator_api.open_config_access(FLAGS.router, FLAGS.operator_key, FLAGS.platform)


def confirm(question: str) -> None:
    """Ask the user to confirm a dangerous change, unless --yes is given.

    Raises:
      errors.SettingError: When the user declines, or cannot be asked without a terminal.
    """
    if FLAGS.yes:
        return
    if not sys.stdin.isatty():
        raise errors.SettingError(f"{question}: not confirmed", "give --yes")
    if input(f"{question}? [y/N] ").strip().lower() != "y":
        raise errors.SettingError("not confirmed", "answer y or give --yes")


def expected_version() -> int | None:
    """Return the version given with --expect, None without the flag.

    Raises:
      errors.SettingError: When the value is not a version number.
    """
    if FLAGS.expect is None:
        return None
    number = decimal_digits.parse(FLAGS.expect, config_store.MAX_VERSION)
    if number is None:
        raise errors.SettingError(
            f"--expect={FLAGS.expect!r:.40} is not a version", "give a version number"
        )
    return number


def parse_version(argument: str) -> int:
    """Return a version number from a command-line argument.

    Raises:
      errors.SettingError: When the argument is not a number.
    """
    number = decimal_digits.parse(argument, config_store.MAX_VERSION)
    if number is None:
        raise errors.SettingError(
            f"version {argument!r:.40} is not a number", "see `config history`"
        )
    return number


def read_file(path: str) -> str:
    """Return the content of a UTF-8 text file."""
    return pathlib.Path(path).read_text(encoding="utf-8")


def check(path: str) -> porcelain.Result:
    """Check a configuration document before it is sent."""
    if FLAGS.form == "platform":
        data = pathlib.Path(path).read_bytes()
        in_force = pathlib.Path(FLAGS.in_force).read_bytes() if FLAGS.in_force else None
        return porcelain.check_platform_config(data, in_force)
    in_force = read_file(FLAGS.in_force) if FLAGS.in_force else None
    return porcelain.check_config(read_file(path), in_force)


def apply_edit(edit: config_edit.Edit, summary: str) -> porcelain.Result:
    """Apply an edit to the document in force."""
    return porcelain.edit_config(open_access(), edit, FLAGS.operator, summary)


def apply(path: str) -> porcelain.Result:
    """Replace the whole configuration document."""
    text = read_file(path)
    config.loads(text)
    confirm("replace the whole configuration")
    return porcelain.apply_config(open_access(), text, expected_version(), FLAGS.operator)


def rollback(version: str) -> porcelain.Result:
    """Apply an earlier document again, as a new version."""
    confirm(f"roll back to version {version}")
    return porcelain.rollback_config(open_access(), parse_version(version), FLAGS.operator)


def use_preset(name: str) -> porcelain.Result:
    """Put a preset in force."""
    return porcelain.use_preset(open_access(), name, FLAGS.expect, FLAGS.operator)


def drain_command(field: str, is_drained: bool):
    """Return the command that drains or undrains an endpoint or VM.

    Args:
      field: Field of `config.Operations` that lists the drained names.
      is_drained: Whether the command drains rather than undrains.
    """
    verb = "drained" if is_drained else "undrained"

    def command(name: str) -> porcelain.Result:
        if is_drained:
            confirm(f"drain {name}")
        return apply_edit(config_edit.set_drained(field, name, is_drained), f"{name} {verb}")

    return command


def set_limits(team: str) -> porcelain.Result:
    """Set a team's limits."""
    team_limits = config.Limits(
        FLAGS.requests_per_second, FLAGS.tokens_per_second, FLAGS.concurrency
    )
    return apply_edit(config_edit.set_limits(team, team_limits), f"limits of team {team}")


def add_team(name: str) -> porcelain.Result:
    """Add a team."""
    return porcelain.add_team(open_access(), name, FLAGS.models, FLAGS.services, FLAGS.operator)


def rotate_key(team: str) -> porcelain.Result:
    """Give a team a new API key; the most recent previous key stays valid."""
    confirm(f"revoke all but the newest key of team {team}")
    return porcelain.rotate_key(open_access(), team, FLAGS.operator)


def start_rollout(model: str, version: str) -> porcelain.Result:
    """Start the rollout of a weights version."""
    confirm(f"load {version} of {model} on all its endpoints")
    return porcelain.start_rollout(open_access(), model, version, FLAGS.operator)


def pause_rollout_command(is_paused: bool):
    """Return the command that pauses or resumes a rollout."""
    verb = "paused" if is_paused else "resumed"

    def command(model: str) -> porcelain.Result:
        edit = config_edit.pause_rollout(model, is_paused)
        return apply_edit(edit, f"rollout of {model} {verb}")

    return command


def stop_rollout(model: str) -> porcelain.Result:
    """Stop a rollout; the endpoints reload the version in force."""
    confirm(f"stop the rollout of {model}")
    return apply_edit(config_edit.set_rollout(model, ""), f"rollout of {model} stopped")


def set_adapter(model: str, name: str, version: str) -> porcelain.Result:
    """Add an adapter to a model or change its version."""
    return apply_edit(config_edit.set_adapter(model, name, version), f"adapter {name} {version}")


def remove_adapter(model: str, name: str) -> porcelain.Result:
    """Remove an adapter from a model; requests that name it are rejected from then on."""
    confirm(f"remove adapter {name} from {model}")
    return apply_edit(config_edit.set_adapter(model, name, ""), f"adapter {name} removed")


def set_role(endpoint: str, role: str) -> porcelain.Result:
    """Assign a role to an endpoint."""
    confirm(f"assign {endpoint} the role {role}")
    return apply_edit(config_edit.set_role(endpoint, role), f"{endpoint} {role}")


def digest_key(key: str) -> porcelain.Result:
    """Return the digest of an API key."""
    value = config.digest_key(key)
    return porcelain.Result(value, {"digest": value})


COMMANDS = {
    "config check": (check, 1),
    "config apply": (apply, 1),
    "config show": (lambda: porcelain.show_config(open_access()), 0),
    "config history": (lambda: porcelain.config_history(open_access()), 0),
    "config diff": (
        lambda a, b: porcelain.diff_config(open_access(), parse_version(a), parse_version(b)),
        2,
    ),
    "config rollback": (rollback, 1),
    "preset list": (lambda: porcelain.list_presets(open_access()), 0),
    "preset use": (use_preset, 1),
    "endpoint list": (lambda: porcelain.list_endpoints(FLAGS.router), 0),
    "endpoint drain": (drain_command("drained_endpoints", True), 1),
    "endpoint undrain": (drain_command("drained_endpoints", False), 1),
    "endpoint role": (set_role, 2),
    "adapter set": (set_adapter, 3),
    "adapter remove": (remove_adapter, 2),
    "vm drain": (drain_command("drained_vms", True), 1),
    "vm undrain": (drain_command("drained_vms", False), 1),
    "team add": (add_team, 1),
    "team rotate-key": (rotate_key, 1),
    "team limits": (set_limits, 1),
    "rollout start": (start_rollout, 2),
    "rollout pause": (pause_rollout_command(True), 1),
    "rollout resume": (pause_rollout_command(False), 1),
    "rollout stop": (stop_rollout, 1),
    "rollout status": (lambda: porcelain.rollout_status(open_access(), FLAGS.router), 0),
    "members": (lambda: porcelain.list_members(FLAGS.router), 0),
    "status": (lambda: porcelain.all_status(FLAGS.router), 0),
    "key digest": (digest_key, 1),
}


if __name__ == "__main__":
    main()
