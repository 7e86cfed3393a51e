"""Command bronzemux-report: reports from the routers' metrics and logs."""

from gevent import monkey

monkey.patch_all()

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
flags.DEFINE_string("router", "http://127.0.0.1:8080", "A router; it names the others.")
flags.DEFINE_string("operator_key", "", "Key of an operator, to read the objectives.")
flags.DEFINE_string("platform", "", "IP-number:port of the table service, instead of a key.")
flags.DEFINE_string("samples", "", "File that keeps samples between runs.")
flags.DEFINE_integer("count", 1, "Number of samples to take.", lower_bound=1)
flags.DEFINE_float("interval", 60.0, "Seconds between samples.", lower_bound=0.1)
flags.DEFINE_enum("output", "text", ["text", "json"], "Form of the output.")
flags.DEFINE_string("html", "", "File for a page with plots; needs the plot extra.")

SECONDS_PER_HOUR = 3600.0
MAX_SAMPLES = 50_000
EXIT_FAILED = 1
USAGE = "usage: bronzemux-report [flags] burn\n       bronzemux-report explain ID FILE...\n"


def main() -> None:
    """Report the burn from all routers' metrics, or tell one request's story from logs."""
    words = settings.parse_flags(sys.argv)
    is_explain = words[:1] == ["explain"] and len(words) > 2
    if words != ["burn"] and not is_explain:
        print(USAGE, file=sys.stderr)
        settings.exit_with_error(f"no report {' '.join(words)!r}")
    try:
        if is_explain:
            run_explain(words[1], words[2:])
        else:
            run_burn()
    except (errors.BronzemuxError, OSError, ValueError) as error:
        settings.exit_with_error(str(error), EXIT_FAILED)


def run_explain(request_id: str, names: list[str]) -> None:
    """Print the story of a request.

    Args:
      request_id: Identity of the request.
      names: Files with logs of gateways.
    """
    lines = []
    for name in names:
        path = pathlib.Path(name)
        with path.open(encoding="utf-8", errors="replace") as log:
            parsed = (explain.parse(text, path.name) for text in log)
            lines.extend(line for line in parsed if line is not None)
    for line in explain.story(lines, request_id):
        print(line.text())


def run_burn() -> None:
    """Take the samples that the flags ask for and print the report."""
    document = read_document()
    series = load_samples()
    for number in range(FLAGS.count):
        if number:
            time.sleep(FLAGS.interval)
        add_sample(series, document)
    save_samples(series)
    rows = burn.report(series, document)
    print(burn_report.text(rows) if FLAGS.output == "text" else burn_report.to_json(rows))
    if FLAGS.html:
        title = f"Service-level burn of {document.deployment.name}"
        pathlib.Path(FLAGS.html).write_text(burn_report.to_html(rows, series, title), "utf-8")


def read_document() -> config.Config:
    """Return the configuration in force."""
    access = operator_api.open_config_access(FLAGS.router, FLAGS.operator_key, FLAGS.platform)
    head = access.read()
    if head is None:
        raise errors.ConfigConflictError("there is no configuration", "apply one first")
    return head.document()


def read_metrics() -> list[str]:
    """Return the metrics of all routers that answer."""
    found = json.loads(operator_api.get(FLAGS.router, "/v1/locate?all=true").body)
    texts = []
    for item in found["routers"]:
        try:
            texts.append(operator_api.get(item["address"], "/metrics").body.decode())
        except errors.EndpointError as error:
            print(f"warning: {item['name']} left out: {error}", file=sys.stderr)
    return texts


def add_sample(series: dict, document: config.Config) -> None:
    """Add a sample of every objective; a counter that fell begins its series anew."""
    now = time.time() / SECONDS_PER_HOUR
    for key, (good, total) in burn.events(burn.merge(read_metrics()), document).items():
        samples = series.setdefault(key, [])
        if samples and (samples[-1].total > total or samples[-1].good > good):
            samples.clear()
        samples.append(burn.Sample(now, good, total))
        del samples[:-MAX_SAMPLES]


def load_samples() -> dict:
    """Return the samples of earlier runs."""
    path = pathlib.Path(FLAGS.samples) if FLAGS.samples else None
    if path is None or not path.exists():
        return {}
    raw = json.loads(path.read_text("utf-8"))
    return {tuple(k.split("/", 1)): [burn.Sample(*item) for item in v] for k, v in raw.items()}


def save_samples(series: dict) -> None:
    """Keep the samples for later runs."""
    if FLAGS.samples:
        raw = {"/".join(k): [list(vars(s).values()) for s in v] for k, v in series.items()}
        pathlib.Path(FLAGS.samples).write_text(json.dumps(raw), "utf-8")


if __name__ == "__main__":
    main()
