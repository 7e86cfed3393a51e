"""Command bronzemux-report: reports from metrics and logs of the routers."""

from bronzemux import patching

patching.patch_all()

import json
import pathlib
import sys
import time

from absl import flags

from bronzemux import (
    burn,
    burn_report,
    config,
    errors,
    explain,
    operator_api,
    settings,
)

FLAGS = flags.FLAGS
flags.DEFINE_string(
    "router",
    "http://127.0.0.1:8080",
    "URL of a router, which is asked for the addresses of the others.",
)
flags.DEFINE_string("operator_key", "", "API key of an operator, to read the objectives.")
flags.DEFINE_string(
    "platform", "", "IP:PORT of the table service, to read the objectives without a key."
)
flags.DEFINE_string("samples", "", "File that stores samples between runs.")
flags.DEFINE_integer("count", 1, "Number of samples to take.", lower_bound=1)
flags.DEFINE_float("interval", 60.0, "Seconds between samples.", lower_bound=0.1)
flags.DEFINE_enum("output", "text", ["text", "json"], "Output format.")
flags.DEFINE_string("html", "", "File to write an HTML report to; needs the plot extra.")

SECONDS_PER_HOUR = 3600.0
# At the default --interval this covers more than the 30 days of an objective.
MAX_SAMPLES_PER_SERIES = 50_000
EXIT_FAILED = 1
USAGE = "usage: bronzemux-report [flags] burn\n       bronzemux-report explain ID FILE...\n"


def main() -> None:
    """Report the burn rates from all routers' metrics, or the timeline of a request from logs."""
    arguments = settings.parse_flags(sys.argv)
    is_explain = arguments[:1] == ["explain"] and len(arguments) > 2
    if arguments != ["burn"] and not is_explain:
        print(USAGE, file=sys.stderr)
        settings.exit_with_error(f"no report {' '.join(arguments)!r}")
    try:
        if is_explain:
            run_explain(arguments[1], arguments[2:])
        else:
            run_burn()
    except (errors.BronzemuxError, OSError, ValueError) as error:
        settings.exit_with_error(str(error), EXIT_FAILED)


def run_explain(request_id: str, log_paths: list[str]) -> None:
    """Print the timeline of a request.

    Args:
      request_id: Request id.
      log_paths: Paths of gateway log files.
    """
    log_events = []
    for log_path in log_paths:
        path = pathlib.Path(log_path)
        with path.open(encoding="utf-8", errors="replace") as log:
            parsed = (explain.parse_line(line, path.name) for line in log)
            log_events.extend(log_event for log_event in parsed if log_event is not None)
    for log_event in explain.timeline(log_events, request_id):
        print(log_event.text())


def run_burn() -> None:
    """Take the number of samples given by --count and print the burn report."""
    document = read_document()
    series = load_samples()
    for index in range(FLAGS.count):
        if index:
            time.sleep(FLAGS.interval)
        add_sample(series, document)
    save_samples(series)
    rows = burn.evaluate(series, document)
    print(burn_report.text(rows) if FLAGS.output == "text" else burn_report.to_json(rows))
    if FLAGS.html:
        title = f"Error budget burn rates of {document.deployment.name}"
        pathlib.Path(FLAGS.html).write_text(burn_report.to_html(rows, series, title), "utf-8")


def read_document() -> config.Config:
    """Return the configuration in force."""
    access = operator_api.open_config_access(FLAGS.router, FLAGS.operator_key, FLAGS.platform)
    head = access.read()
    if head is None:
        raise errors.ConfigConflictError(
            "there is no configuration yet", "apply one with bronzemux-ctl"
        )
    return head.document()


def read_metrics() -> list[str]:
    """Return the metrics of all routers that respond."""
    located = json.loads(operator_api.send_request(FLAGS.router, "/v1/locate?all=true").body)
    texts = []
    for item in located["routers"]:
        try:
            texts.append(operator_api.send_request(item["address"], "/metrics").body.decode())
        except errors.EndpointError as error:
            print(f"warning: {item['name']} omitted: {error}", file=sys.stderr)
    return texts


def add_sample(series: dict, document: config.Config) -> None:
    """Add a sample of every objective.

    A counter that decreased, for example because a router restarted, discards the earlier samples
    of its objective.

    Args:
      series: Samples by workload and objective, which the function extends.
      document: Configuration with the objectives.
    """
    now_hours = time.time() / SECONDS_PER_HOUR
    for key, (good, total) in burn.count_events(
        burn.merge_metrics(read_metrics()), document
    ).items():
        samples = series.setdefault(key, [])
        if samples and (samples[-1].total > total or samples[-1].good > good):
            samples.clear()
        samples.append(burn.Sample(now_hours, good, total))
        del samples[:-MAX_SAMPLES_PER_SERIES]


def load_samples() -> dict:
    """Return the samples stored by earlier runs, by workload and objective."""
    path = pathlib.Path(FLAGS.samples) if FLAGS.samples else None
    if path is None or not path.exists():
        return {}
    raw = json.loads(path.read_text("utf-8"))
    return {tuple(k.split("/", 1)): [burn.Sample(*item) for item in v] for k, v in raw.items()}


def save_samples(series: dict) -> None:
    """Store the samples for later runs."""
    if FLAGS.samples:
        raw = {"/".join(k): [list(vars(s).values()) for s in v] for k, v in series.items()}
        pathlib.Path(FLAGS.samples).write_text(json.dumps(raw), "utf-8")


if __name__ == "__main__":
    main()
