"""Fuzz test of all decoders of untrusted bytes and of the state machines.

``python -m features.fuzz --examples=100000 --seed=7`` runs all, ``--only=NAME`` a single one.
"""

import dataclasses
import json
from collections.abc import Callable

import cbor2
import hypothesis
from absl import app, flags
from hypothesis import stateful
from hypothesis import strategies as st

from bronzemux import (
    completion,
    config,
    config_store,
    engine_http,
    errors,
    requests,
    resume_token,
    signing,
    traffic,
    wire,
)
from bronzemux.gateway import gossip
from bronzemux.platform import fields
from features import (
    claims_model,
    gateway_decoders,
    head_model,
    lease_model,
    odd_cbor,
    router_decoders,
)

FLAGS = flags.FLAGS
MACHINES = {
    "claims": claims_model.ClaimMachine,
    "restored claims": claims_model.RestoredClaimMachine,
    "head": head_model.HeadMachine,
    "lease": lease_model.LeaseMachine,
}
MACHINE_STEPS = 60


@dataclasses.dataclass(frozen=True)
class Decoder:
    """A decoder, the strategy for its inputs, and the only error that it may raise."""

    function: Callable
    inputs: st.SearchStrategy
    error: type[Exception]


DOCUMENT = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
USAGE_FIELDS = st.sampled_from(("prompt_tokens", "completion_tokens", "prompt_tokens_details"))
CHOICES = st.lists(st.dictionaries(st.sampled_from(("delta", "text")), DOCUMENT), max_size=2)
DECODERS = {
    "the sealed frame": Decoder(
        lambda content: signing.verify(content, (b"key",)),
        st.binary(max_size=200),
        signing.SignatureError,
    ),
    "the answer part": Decoder(
        completion.decode_usage,
        st.dictionaries(USAGE_FIELDS, DOCUMENT).map(lambda u: json.dumps({"usage": u}).encode())
        | st.binary(max_size=60).map(lambda raw: b'"usage"' + raw),
        errors.EndpointProtocolError,
    ),
    "the text of a part": Decoder(
        completion.decode_text,
        (DOCUMENT | CHOICES).map(lambda value: json.dumps({"choices": value}).encode()),
        errors.EndpointProtocolError,
    ),
    "the configuration head": Decoder(
        config_store.decode,
        odd_cbor.changed([2, "", "id", "operator", "now", "summary"])
        | st.binary(max_size=100)
        | DOCUMENT.map(cbor2.dumps),
        errors.HeadError,
    ),
    "the wire decoder": Decoder(wire.decode, st.binary(max_size=200), wire.WireError),
    "the event decoder": Decoder(
        engine_http.decode_event,
        st.binary(max_size=100),
        errors.EndpointProtocolError,
    ),
    "the state decoder": Decoder(
        lambda raw: engine_http.decode_state("e", raw),
        DOCUMENT.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=100),
        errors.EndpointProtocolError,
    ),
    "the configuration": Decoder(config.loads, st.text(max_size=200), errors.ConfigError),
    "the traffic file": Decoder(traffic.loads, st.text(max_size=200), errors.ConfigError),
    "the resume token": Decoder(
        lambda text: resume_token.verify(text, (b"key",), 0.0),
        st.text(max_size=100),
        errors.InvalidRequestError,
    ),
    "an endpoint's entry": Decoder(
        gateway_decoders.use_entry,
        gateway_decoders.as_json(gateway_decoders.ENTRY),
        fields.DocumentError,
    ),
    "the operator's configuration": Decoder(
        gateway_decoders.use_configuration,
        gateway_decoders.as_json(gateway_decoders.CONFIGURATION),
        fields.DocumentError,
    ),
    "a weights target": Decoder(
        gateway_decoders.use_target,
        gateway_decoders.as_json({"model": "m1", "version": 2}),
        fields.DocumentError,
    ),
    "the settings file": Decoder(
        gateway_decoders.use_settings,
        gateway_decoders.as_json(gateway_decoders.SETTINGS),
        fields.DocumentError,
    ),
    "a page of the store": Decoder(
        gateway_decoders.use_page,
        gateway_decoders.as_json(gateway_decoders.PAGE),
        errors.PlatformUnavailableError,
    ),
    "a router's message": Decoder(
        gateway_decoders.use_message, gateway_decoders.MESSAGE_BYTES, gossip.GossipError
    ),
    "a router's registration": Decoder(
        gateway_decoders.use_registration,
        gateway_decoders.REGISTRATION_BYTES,
        gossip.GossipError,
    ),
    "the VM list": Decoder(
        router_decoders.use_vm_list, router_decoders.vm_lists(), errors.PlatformError
    ),
    "a message in the mesh": Decoder(
        router_decoders.use_peer_message, router_decoders.peer_messages(), wire.WireError
    ),
    "the state of an engine": Decoder(
        router_decoders.use_engine_state,
        gateway_decoders.as_json(router_decoders.ENGINE_STATE),
        errors.EndpointProtocolError,
    ),
    "the row of a claim": Decoder(
        router_decoders.use_claim,
        odd_cbor.changed(router_decoders.CLAIM_FIELDS) | odd_cbor.ODD_BYTES,
        errors.ClaimRowError,
    ),
    "rows of the table service": Decoder(
        router_decoders.use_rows,
        odd_cbor.changed(router_decoders.TABLE_ROWS) | odd_cbor.ODD_BYTES,
        errors.PlatformError,
    ),
    "a scan of the table service": Decoder(
        router_decoders.use_scan,
        odd_cbor.changed(router_decoders.TABLE_ROWS[:1]) | odd_cbor.ODD_BYTES,
        errors.PlatformError,
    ),
    "the response to a write": Decoder(
        router_decoders.use_write_response,
        odd_cbor.changed(["first"]) | odd_cbor.ODD_BYTES,
        errors.PlatformError,
    ),
    "the request body": Decoder(
        requests.decode_body,
        DOCUMENT.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=100),
        errors.InvalidRequestError,
    ),
}


def feeder(name: str) -> Callable:
    """Return a test that calls a decoder with generated inputs.

    Args:
      name: Key of `DECODERS`.
    """
    decoder = DECODERS[name]

    @hypothesis.given(decoder.inputs)
    def feed(value):
        try:
            decoder.function(value)
        except decoder.error:
            return

    return feed


def run(name: str, examples: int, seed: int) -> None:
    """Fuzz one decoder or state machine from a seed.

    Args:
      name: Key of `DECODERS` or `MACHINES`.
      examples: Number of generated inputs or histories.
      seed: Seed of the random generator.

    Raises:
      Exception: An error of a decoder other than its typed error, or a failure of a machine.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=MACHINE_STEPS,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if name in MACHINES:
        machine = hypothesis.seed(seed)(MACHINES[name])
        stateful.run_state_machine_as_test(machine, settings=settings)
    else:
        hypothesis.seed(seed)(settings(feeder(name)))()


def main(arguments: list[str]) -> int:
    """Run the decoders and machines that the flags select; return the exit status."""
    if len(arguments) > 1:
        raise app.UsageError(f"unknown arguments: {' '.join(arguments[1:])}")
    names = [FLAGS.only] if FLAGS.only else [*DECODERS, *MACHINES]
    for name in names:
        run(name, FLAGS.examples, FLAGS.seed)
        print(
            f"{name}: {FLAGS.examples} examples from seed {FLAGS.seed}, no failure found",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    flags.DEFINE_integer(
        "examples", 10_000, "Inputs or histories per decoder or machine.", lower_bound=1
    )
    flags.DEFINE_integer("seed", 1, "Seed of the random generator.")
    flags.DEFINE_enum(
        "only", "", ["", *DECODERS, *MACHINES], "Name of the only decoder or machine to run."
    )
    app.run(main)
