"""Command bronzemux-load: load generation, replay and measurements."""

from bronzemux import patching

patching.patch_all()

import pathlib
import sys

from absl import flags

from bronzemux import (
    clock,
    config,
    config_edit,
    development,
    errors,
    load,
    replay,
    replay_report,
    settings,
    slopes,
    traffic,
)

FLAGS = flags.FLAGS
flags.DEFINE_string("examples", "examples", "Directory of configurations and traffic files.")
flags.DEFINE_enum(
    "deployment",
    "centre",
    ["centre", "plinth"],
    "Deployment whose configuration and traffic are used.",
)
flags.DEFINE_list("policies", list(replay.POLICIES), "Policies to replay.")
flags.DEFINE_list(
    "routers", ["127.0.0.1:8080", "127.0.0.1:8081"], "Addresses of the routers for `run`."
)
flags.DEFINE_float(
    "rate", 0.0, "Requests per second; 0 uses the rate in the traffic file.", lower_bound=0.0
)
flags.DEFINE_float(
    "seconds", 0.0, "Seconds to run; 0 uses the duration in the traffic file.", lower_bound=0
)
flags.DEFINE_integer(
    "requests",
    200,
    "Requests sent directly, and as many through the router, for `overhead`.",
    lower_bound=1,
)
flags.DEFINE_integer("parts", 200, "Words per response for `overhead`.", lower_bound=2)
flags.DEFINE_boolean("events", True, "Whether endpoints publish cache events in a replay.")
flags.DEFINE_float(
    "report_seconds", 0.25, "Interval of load reports in a replay.", lower_bound=0.01
)
flags.DEFINE_string("json", "", "File to write the results to as JSON.")
flags.DEFINE_string("plot", "", "File to write a plot to; needs the plot extra.")
flags.DEFINE_string(
    "key",
    development.DEMONSTRATION_KEY,
    "Format string of the teams' API keys, with {deployment} and {team}.",
)

USAGE = """\
usage: bronzemux-load [flags] COMMAND
  replay    simulate seeded traffic on a fake clock under each routing policy
  run       send seeded traffic over real sockets to running routers
  overhead  measure the latency and CPU time that a router adds to direct access to the engine
  restart   measure the time from restart to first response, with the platform up, slow and down
  slopes    measure how state, messages and CPU time grow, for docs/CAPACITY.md
"""
PREFILL_SPEEDUP = 1000.0
TOKEN_SECONDS = 0.001
SLOW_PLATFORM_DELAY_SECONDS = 1.0
UNLIMITED_LIMITS = config.Limits(requests_per_second=1e9, tokens_per_second=1e12, concurrency=10**6)


def main() -> None:
    """Run one command."""
    arguments = settings.parse_flags(sys.argv)
    commands = {
        "replay": run_replay,
        "run": run_load,
        "overhead": run_overhead,
        "slopes": run_slopes,
        "restart": run_restart,
    }
    if len(arguments) != 1 or arguments[0] not in commands:
        print(USAGE, file=sys.stderr)
        settings.exit_with_error(f"no command {' '.join(arguments)!r}")
    try:
        commands[arguments[0]]()
    except errors.ConfigError as error:
        settings.exit_with_error("\n".join([error.message, *map(str, error.exceptions)]), 1)
    except (OSError, errors.BronzemuxError) as error:
        settings.exit_with_error(str(error), 1)


def load_inputs() -> tuple[traffic.Traffic, config.Config]:
    """Return the traffic and the configuration selected by the flags."""
    directory = pathlib.Path(FLAGS.examples)
    plan = traffic.loads((directory / f"{FLAGS.deployment}-traffic.toml").read_text("utf-8"))
    document = config.loads((directory / f"{FLAGS.deployment}.toml").read_text("utf-8"))
    return traffic.scaled(plan, FLAGS.rate, FLAGS.seconds), document


def run_replay() -> None:
    """Replay the traffic under each policy and print a report."""
    plan, document = load_inputs()
    unknown = sorted(set(FLAGS.policies) - set(replay.POLICIES))
    if unknown:
        supported = ", ".join(replay.POLICIES)
        settings.exit_with_error(
            f"--policies={','.join(unknown)}: unknown; choose from {supported}"
        )
    report_settings = replay.ReportSettings(FLAGS.report_seconds, FLAGS.events)
    runs = [
        replay.Replay(plan, document, replay.POLICIES[name], report_settings)
        for name in FLAGS.policies
    ]
    summaries = [run.run() for run in runs]
    print(f"{plan.deployment}: {plan.requests_per_second:g}/s for {plan.duration_seconds:g} s")
    print(replay_report.summary_table(summaries))
    print("\nfirst token p99 by phase, s\n" + replay_report.phase_table(runs))
    print("\nfirst token p99 by team, s\n" + replay_report.team_table(runs))
    if FLAGS.json:
        pathlib.Path(FLAGS.json).write_text(replay_report.to_json(runs), "utf-8")
    if FLAGS.plot:
        replay_report.plot(runs, pathlib.Path(FLAGS.plot))


def run_load() -> None:
    """Send the traffic to running routers and print a report."""
    plan, document = load_inputs()

    def key_of(team: str) -> str:
        return FLAGS.key.format(deployment=plan.deployment, team=team)

    print(load.send_traffic(plan, FLAGS.routers, key_of, document).text())


def run_overhead() -> None:
    """Measure a router's overhead and print a report."""
    text = (pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.toml").read_text("utf-8")
    team = config.loads(text).teams[0].name
    text = config_edit.apply(text, config_edit.set_limits(team, UNLIMITED_LIMITS))
    deployment = development.DevelopmentDeployment(
        development.DevelopmentSettings(
            text=text, routers=1, token_seconds=TOKEN_SECONDS, speed=PREFILL_SPEEDUP
        ),
        clock.SystemClock(),
    )
    deployment.start()
    print(load.measure_overhead(deployment, FLAGS.requests, FLAGS.parts).text())
    deployment.stop()


def run_restart() -> None:
    """Print the restart times of one of eight routers, and of seven of them at once."""
    text = (pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.toml").read_text("utf-8")
    deployment = development.DevelopmentDeployment(
        development.DevelopmentSettings(text=text, routers=8), clock.SystemClock()
    )
    deployment.start()
    faults = deployment.platform.faults
    for state in ("up", "slow", "down"):
        faults.is_down = state == "down"
        faults.delay_seconds = SLOW_PLATFORM_DELAY_SECONDS if state == "slow" else 0.0
        for positions in ([7], list(range(1, 8))):
            times = load.measure_restart_times(deployment, positions)
            print(f"platform {state}, {len(positions)} of 8 routers: slowest {max(times):.3f} s")
    deployment.stop()


def run_slopes() -> None:
    """Measure the growth of state, messages and CPU time and print it as a table."""
    print("\n".join(slopes.table_lines(list(slopes.measure()))))


if __name__ == "__main__":
    main()
