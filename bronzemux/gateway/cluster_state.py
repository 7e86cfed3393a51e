"""A gateway's replica of the cluster state: configuration, weights targets and endpoints."""

from collections.abc import Callable

from bronzemux import clock as clocks
from bronzemux import errors, logs, records, store_version
from bronzemux.gateway import endpoints, model, rows

# Endpoint entries that expired during a store outage reappear about 2 s after its end. The rest of
# the time within which a leaving endpoint must stop getting requests is left for those in transit.
REMOVAL_DELAY_SECONDS = 1.8

# The store removes entries that are not renewed for three heartbeats, which is 3.6 s. Entries that a
# restored store still has after this time belong to endpoints that are alive.
RESTORED_ENTRY_SECONDS = 6.0

# Most weights versions of a model whose age is kept; older ones are past every age limit by then.
MAX_KEPT_VERSIONS = 8


class DocumentDecoder:
    """Interface to the decoders of the store's rows.

    Attributes:
      operator_table: Name of the table of the operator's documents.
      endpoint_table: Name of the table of the endpoints' entries.
    """

    operator_table = ""
    endpoint_table = ""

    def decode_operator(
        self, key: str, data: bytes
    ) -> model.Configuration | model.WeightsTarget | None:
        """Return a document of the operator, None when its key has no meaning for a gateway.

        Raises:
          errors.BronzemuxError: When it is malformed.
        """
        raise NotImplementedError

    def decode_endpoint(self, key: str, data: bytes) -> model.Endpoint:
        """Return the endpoint of an entry.

        Raises:
          errors.BronzemuxError: When it is malformed.
        """
        raise NotImplementedError

    def rank_operator(self, key: str, data: bytes) -> tuple | None:
        """Return what orders the documents that a key has had, None for one without an order."""
        raise NotImplementedError

    def rank_endpoint(self, key: str, data: bytes) -> tuple | None:
        """Return what orders the entries of an endpoint, None for a malformed one."""
        raise NotImplementedError


@records.state
class TargetHistory:
    """Weights versions that the operator has requested for a model.

    Attributes:
      version: Newest requested version.
      known_at: Monotonic seconds at which each version was first known to be requested, the
        oldest first.
    """

    version: int
    known_at: dict[int, float]

    def newest_before(self, at: float) -> int:
        """Return the newest version that was requested before a time, 0 for none."""
        return max((v for v, known_at in self.known_at.items() if known_at < at), default=0)


@records.record
class AppliedRows:
    """Rows that changed a table's replica.

    Attributes:
      table: Name of the table.
      after: Version of the newest change that the replica had before.
      batch: The changed rows; all rows when the store was restored from an older copy.
    """

    table: str
    after: int
    batch: rows.Batch


class ClusterState:
    """Replicas of the store's tables and the state decoded from them.

    Attributes:
      replicas: Replica of each table by name.
      configuration: The configuration in force, None before the first.
      configuration_row: Version of the row with which it came into force.
      replicated_configuration: Version of the configuration in the replica, 0 for none. A restored
        store may have an older one than that in force.
      targets: Requested weights versions by model.
      last_contact_at: Monotonic seconds at which rows last arrived from the store or a peer.
      endpoints_read_at: Monotonic seconds at which the endpoint table was last up to date.
      store_lost_at: Monotonic seconds at which the store stopped answering, None while it answers
        or is not queried; by table.
      store_recovered_at: Monotonic seconds at which the store last became available again.
      lapse_reported_at: Monotonic seconds at which a peer last sent rows that may be missing only
        because of an outage of the store.
      followed_since: Monotonic seconds since which this router follows its tables in the store.
      store_restored_at: Monotonic seconds at which this router learnt that the store was restored.
      pending_removals: Monotonic seconds at which an endpoint without an entry is removed, by key.
      on_change: Called after the state has changed.
      on_rows: Called with the rows that changed a replica.
      on_restore: Called with the era after the store was restored from an older copy.
      followed_tables: Names of the tables that this router follows in the store.

    Args:
      documents: Decodes the rows.
      clock: Source of time.
      table: State of the endpoints.
    """

    def __init__(
        self, documents: DocumentDecoder, clock: clocks.Clock, table: endpoints.EndpointTable
    ):
        self.documents = documents
        self.clock = clock
        self.endpoints = table
        ranks = {
            documents.operator_table: documents.rank_operator,
            documents.endpoint_table: documents.rank_endpoint,
        }
        self.replicas = {
            name: rows.Replica(
                name,
                lambda row, rank=rank: rank(row.key, row.value),
                is_monotonic=name == documents.operator_table,
            )
            for name, rank in ranks.items()
        }
        self.configuration: model.Configuration | None = None
        self.configuration_row = -1
        self.replicated_configuration = 0
        self.targets: dict[str, TargetHistory] = {}
        self.last_contact_at = self.endpoints_read_at = -1e9
        self.store_lost_at: dict[str, float | None] = {}
        self.store_recovered_at = -1e9
        self.lapse_reported_at = -1e9
        self.store_restored_at = -1e9
        self.followed_since = -1e9
        self.pending_removals: dict[str, float] = {}
        self.on_change: list[Callable[[], None]] = []
        self.on_rows: list[Callable[[AppliedRows], None]] = []
        self.on_restore: list[Callable[[int], None]] = []
        self.followed_tables: set[str] = set()
        self.repeat_filter = logs.RepeatFilter(clock)

    def apply_rows(
        self, name: str, batch: rows.Batch, source: str, is_lapse_possible: bool = False
    ) -> None:
        """Apply rows that the store or a peer sent.

        Args:
          name: Name of the table.
          batch: The rows.
          source: Origin of the rows, for logs.
          is_lapse_possible: Whether the sender reports that missing rows may only have expired
            during an outage of the store.
        """
        self.last_contact_at = self.clock.monotonic()
        if is_lapse_possible:
            self.lapse_reported_at = self.last_contact_at
        replica = self.replicas[name]
        if batch.version < replica.version:
            self.repeat_filter.event(
                "rows_ignored",
                f"{name} {source}",
                table=name,
                version=store_version.text(batch.version),
                known=store_version.text(replica.version),
                snapshot=batch.is_snapshot,
                source=source,
            )
        elif name == self.documents.endpoint_table:
            self.endpoints_read_at = self.last_contact_at
        after, era = replica.changed_version, replica.era
        version, was_read = replica.version, replica.version >= 0
        changed = replica.apply(batch)
        is_restored = was_read and replica.era > era
        if is_restored:
            self._record_restore(replica, version, changed, source)
        if not changed and was_read and not is_restored:
            return
        applied = AppliedRows(name, after, rows.Batch(changed, batch.version, is_snapshot=False))
        if is_restored:
            applied = AppliedRows(name, after, replica.snapshot())
        for listener in self.on_rows:
            self._run_guarded(listener, applied, table=name)
        if name == self.documents.operator_table:
            for row in changed:
                self._run_guarded(self._apply_operator_row, row, source, key=row.key)
        else:
            for row in changed:
                if not self._run_guarded(self._apply_endpoint_row, row, source, key=row.key):
                    self.endpoints.remove(row.key)
        for listener in self.on_change:
            self._run_guarded(listener, table=name)

    @staticmethod
    def _run_guarded(function: Callable, *arguments, **fields) -> bool:
        """Call a function for rows that the replica has taken, and log an unexpected error.

        Without this, the task that follows the table would end and, as the replica has taken them,
        never apply the other rows of the batch.

        Args:
          function: The function.
          arguments: Its arguments.
          fields: Further pairs of the log line.

        Returns:
          Whether the function succeeded.
        """
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001 - an error of one row must not affect the others
            remedy = "remove the row if its value is odd, and report the error"
            logs.failure("row_failed", error, remedy=remedy, **fields)
            return False
        return True

    def _record_restore(
        self, replica: rows.Replica, version: int, changed: tuple[rows.Row, ...], source: str
    ) -> None:
        """Record that the store was restored from an older copy.

        Entries that it has lost are written again as after an outage.
        """
        self.store_restored_at = self.store_recovered_at = self.clock.monotonic()
        kept = [
            r.key for r in replica.rows.values() if store_version.era_of(r.version) < replica.era
        ]
        logs.event(
            "store_restored",
            "warning",
            table=replica.name,
            version=store_version.text(replica.version),
            known=store_version.text(version),
            kept=",".join(sorted(kept)),
            missing=",".join(sorted(row.key for row in changed if row.is_deleted)),
            outdated=",".join(sorted(replica.outdated)),
            source=source,
        )
        for listener in self.on_restore:
            listener(replica.era)

    def _apply_operator_row(self, row: rows.Row, source: str) -> None:
        if row.is_deleted:
            return
        try:
            document = self.documents.decode_operator(row.key, row.value)
        except (errors.BronzemuxError, ValueError) as error:
            logs.event(
                "document_rejected",
                "warning",
                key=row.key,
                row=store_version.text(row.version),
                cause=str(error),
            )
            return
        if isinstance(document, model.Configuration):
            self._apply_configuration(document, row, source)
        elif isinstance(document, model.WeightsTarget):
            self._apply_target(document, row, source)

    def _apply_configuration(self, found: model.Configuration, row: rows.Row, source: str) -> None:
        known = self.configuration.version if self.configuration else -1
        self.replicated_configuration = found.version
        is_newer = found.version > known or self._is_rewritten(found, row)
        logs.event(
            "configuration",
            version=found.version,
            known=known,
            row=store_version.text(row.version),
            source=source,
            isolated=",".join(sorted(found.isolated_teams)),
            outcome="in force" if is_newer else "ignored, not newer",
        )
        if is_newer:
            self.configuration = found
            self.configuration_row = row.version
            self.endpoints.services = found.services

    def _is_rewritten(self, found: model.Configuration, row: rows.Row) -> bool:
        """Return whether a lost version was written again with another content."""
        known = self.configuration
        era, known_era = map(store_version.era_of, (row.version, self.configuration_row))
        return era > known_era and found.version == known.version and found != known

    def _apply_target(self, found: model.WeightsTarget, row: rows.Row, source: str) -> None:
        known = self.targets.get(found.model)
        if known is not None and found.version <= known.version:
            return
        self.record_target(found.model, found.version, 0.0)
        logs.event(
            "weights_named",
            model=found.model,
            version=found.version,
            row=store_version.text(row.version),
            source=source,
        )

    def record_target(self, name: str, version: int, age: float) -> None:
        """Record when the operator requested a version; the earliest known time is kept.

        Another router may have known the version for longer.

        Args:
          name: Name of the model.
          version: Version of its weights.
          age: Least time since the operator requested it, in seconds.
        """
        known_at = self.clock.monotonic() - age
        target = self.targets.setdefault(name, TargetHistory(version, {}))
        target.version = max(version, target.version)
        target.known_at[version] = min(known_at, target.known_at.get(version, known_at))
        while len(target.known_at) > MAX_KEPT_VERSIONS:
            del target.known_at[min(target.known_at)]

    def _apply_endpoint_row(self, row: rows.Row, source: str) -> None:
        now = self.clock.monotonic()
        if row.is_deleted:
            self._apply_removal(row, now, source)
            return
        self.pending_removals.pop(row.key, None)
        try:
            endpoint = self.documents.decode_endpoint(row.key, row.value)
        except (errors.BronzemuxError, ValueError) as error:
            logs.event(
                "entry_rejected",
                "warning",
                key=row.key,
                row=store_version.text(row.version),
                cause=str(error),
            )
            self.endpoints.remove(row.key)
            return
        if self.endpoints.put(endpoint, now):
            logs.event(
                "endpoint",
                id=endpoint.id,
                service=endpoint.service,
                address=endpoint.address,
                software=endpoint.software,
                born=endpoint.started_at_ms,
                draining=endpoint.is_draining,
                weights=dict(endpoint.weights),
                row=store_version.text(row.version),
                source=source,
            )

    def _apply_removal(self, row: rows.Row, now: float, source: str) -> None:
        if self.is_lapse_possible() and row.key in self.endpoints.states:
            self.pending_removals[row.key] = now + REMOVAL_DELAY_SECONDS
            outcome = "kept until the store has been available for a while"
        else:
            self.endpoints.remove(row.key)
            outcome = "left"
        logs.event(
            "endpoint_gone",
            id=row.key,
            row=store_version.text(row.version),
            source=source,
            outcome=outcome,
        )

    def expire(self) -> None:
        """Remove endpoints whose entry has not reappeared since the store recovered."""
        now = self.clock.monotonic()
        expired = [key for key, at in self.pending_removals.items() if at <= now]
        for key in expired:
            del self.pending_removals[key]
            self.endpoints.remove(key)
            logs.event("endpoint_gone", id=key, outcome="removed after the store recovered")
        self._use_outdated(now)

    def _use_outdated(self, now: float) -> None:
        """Use the entries of a restored store that were removed before and that it still has.

        Only routers that follow the store know that it still has them; they tell the others.
        """
        replica = self.replicas[self.documents.endpoint_table]
        contact_since = max(self.store_restored_at, self.store_recovered_at, self.followed_since)
        is_due = self.is_following() and now - contact_since > RESTORED_ENTRY_SECONDS
        if not replica.outdated or not is_due:
            return
        after, found = replica.changed_version, replica.take_outdated()
        change = rows.Batch(found, replica.version, is_snapshot=False)
        for listener in self.on_rows:
            self._run_guarded(
                listener, AppliedRows(replica.name, after, change), table=replica.name
            )
        for row in found:
            self._run_guarded(self._apply_endpoint_row, row, "restored store", key=row.key)
        for listener in self.on_change:
            self._run_guarded(listener, table=replica.name)

    def record_store_contact(self, table: str, is_up: bool | None) -> None:
        """Record that the store became unavailable or available, or is no longer followed.

        Args:
          table: Name of the table.
          is_up: Whether the store answers, None when this router does not query it.
        """
        now = self.clock.monotonic()
        was_unavailable = self.is_store_unavailable()
        self.store_lost_at[table] = now if is_up is False else None
        if is_up:
            if table not in self.followed_tables:
                self.followed_since = now
            self.followed_tables.add(table)
        else:
            self.followed_tables.discard(table)
        if was_unavailable and not self.is_store_unavailable():
            self.store_recovered_at = now

    def is_store_unavailable(self) -> bool:
        """Return whether the store has stopped answering this router."""
        return any(at is not None for at in self.store_lost_at.values())

    def is_lapse_possible(self) -> bool:
        """Return whether a missing entry may only have expired during an outage of the store."""
        last_outage_at = max(self.store_recovered_at, self.lapse_reported_at)
        return (
            self.is_store_unavailable()
            or self.clock.monotonic() - last_outage_at < REMOVAL_DELAY_SECONDS
        )

    def is_complete(self) -> bool:
        """Return whether a configuration is in force and the endpoint table has been read."""
        is_read = self.replicas[self.documents.endpoint_table].version >= 0
        return is_read and self.configuration is not None

    def is_following(self) -> bool:
        """Return whether this router follows all tables in the store and the store answers."""
        return len(self.followed_tables) == len(self.replicas)

    def target(self, model_name: str) -> TargetHistory | None:
        """Return the requested weights of a model, None when none were requested."""
        return self.targets.get(model_name)

    def age(self) -> float:
        """Return the seconds since rows last arrived from the store or a peer."""
        return self.clock.monotonic() - self.last_contact_at
