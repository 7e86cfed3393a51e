"""Task that exchanges what gateways believe, and brings the store's rows to those that do not read
them."""

import dataclasses
import functools
from collections.abc import Callable

from bronzemux import errors, logs, peers, supervisor
from bronzemux.gateway import (
    cache_index,
    cache_store_watcher,
    endpoints,
    forwarder,
    gossip,
    knowledge,
    relaying,
    routers,
    rows,
    settings,
    weights,
)

# A silent connection is replaced before the router behind it is taken to be away.
KEEPALIVE_SECONDS = 1.0
# A peer's newer table is asked for when the own feed did not bring it in this time.
BEHIND_SECONDS = 0.3
# Two status messages without what was asked for.
REPEAT_SECONDS = 0.5
# News waits at most this long for more of it: a message to many routers costs a relay as much
# processor time as a request.
PACE_SECONDS = 0.1
# A router that is not told regularly hears this often that its messages arrive, so that it can ask
# for the list of routers and find its relays.
ANSWER_SECONDS = 0.5
# A router reads the store itself when no relay that follows it was heard for so long: with the
# reading it takes well under the time in which a configuration must be in force.
RELAY_SECONDS = 1.0
# A router that has just started asks the others first: a few times what three of their answers
# take, one after the other, between data centres.
START_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Frame:
    """A message of another gateway."""

    content: bytes


@dataclasses.dataclass(frozen=True)
class Announce:
    """Tell the others now and not at the next tick."""


@dataclasses.dataclass
class Behind:
    """A table of which a peer knows more.

    Attributes:
      version: What the peer knows.
      since: Monotonic seconds at which that was noticed.
      asked_at: Monotonic seconds of the last request.
    """

    version: int
    since: float
    asked_at: float = -1e9


class Peering(supervisor.Task):
    """Exchanges what gateways believe.

    Args:
      config: Settings of this gateway.
      served: Forwarder whose loads are told and whose caches are learned.
      board: Weights that are known of endpoints.
      table: Routers.
      connect: Returns a connection to the router at an address.
    """

    def __init__(
        self,
        config: settings.GatewaySettings,
        served: forwarder.Forwarder,
        board: weights.WeightsBoard,
        table: routers.RouterTable,
        connect: Callable[[str], peers.Peer] | None = None,
    ):
        super().__init__("peering", served.parts.clock, routers.STATUS_SECONDS)
        self.settings = config
        self.forwarder = served
        self.parts = served.parts
        self.knowledge: knowledge.Knowledge = served.parts.knowledge
        self.board = board
        self.table = table
        self.connect = connect or self._connect
        self.peers: dict[str, peers.Peer] = {}
        self.behind: dict[str, Behind] = {}
        self.prefixes = relaying.Outbox()
        self.deaths = relaying.Outbox()
        self.watched_store: Callable[[], str] = lambda: ""
        self.suspects = relaying.Outbox()
        self.asked_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.following_heard_at = -1e9
        self.started_at = self.clock.monotonic()
        self.repeats = logs.RepeatFilter(self.clock)
        self.server: peers.PeerServer | None = None
        self.known_names: frozenset[str] = frozenset()
        self.was_relay: bool | None = None
        served.on_deaths = self._on_deaths
        self.announced_at = -1e9
        self.next_regular = -1e9
        self.is_announcing = False
        board.on_news.append(self.announce_soon)
        served.parts.index.on_news.append(self.announce_soon)
        self.knowledge.on_rows.append(self._on_rows)
        self.parts.reachability.on_suspect.append(self._on_suspect)

    def run(self) -> None:
        """Accept connections, send status and handle messages."""
        host, _, port = self.settings.peer_address.rpartition(":")
        self.server = peers.PeerServer(host, int(port), self._receive)
        self.server.start()
        try:
            super().run()
        finally:
            self.server.close()
            for peer in self.peers.values():
                peer.close()
            self.peers.clear()

    def announce_soon(self) -> None:
        """Tell others before the next regular message; news of one moment goes in one message."""
        if not self.is_announcing:
            self.is_announcing = True
            self.send(Announce())

    def _receive(self, content: bytes) -> None:
        self.parts.meters.mesh_bytes.labels("received").inc(len(content))
        self.send(Frame(content))

    def watcher_place(self) -> int | None:
        """Return the place of this router among those that watch cache stores, None for none."""
        now = self.clock.monotonic()
        if not self.table.is_relay(now):
            return None
        direct = [r for r in self.table.direct(now) if not self.table.is_relayed_to(r, now)]
        before = sum(router.name < self.table.own.name for router in direct)
        return before if before < cache_store_watcher.MAX_WATCHERS else None

    def must_follow_store(self) -> bool:
        """Return whether this router has to use the store itself: its rows, and leases.

        Relays do; the others get the rows from them, as long as one is heard that follows it. Of
        routers that start together and do not know yet how many they are, the strongest begin.
        """
        now = self.clock.monotonic()
        has_others = any(seed != self.settings.reachable_address for seed in self.settings.seeds)
        if not has_others and not self.table.known:
            return True
        age = now - self.started_at
        if age < START_SECONDS:
            return False
        if self.table.is_relay(now) and (age >= RELAY_SECONDS or self.table.is_strongest(now)):
            return True
        return age >= RELAY_SECONDS and now - self.following_heard_at > RELAY_SECONDS

    def _on_deaths(self, incarnation: str, prints: list[str]) -> None:
        self.deaths.add(gossip.DeathNews(incarnation, tuple(prints)))

    def _on_suspect(self, state: endpoints.EndpointState) -> None:
        self.suspects.add(state.endpoint.incarnation)
        self.announce_soon()

    def _on_rows(self, change: knowledge.RowsChanged) -> None:
        """Tell the routers of this data centre what changed, if this router is their relay."""
        now = self.clock.monotonic()
        local = [r for r in self.table.targets(now) if self.table.is_relayed_to(r, now)]
        if not local:
            return
        message = gossip.encode(gossip.RowsChange(change.table, change.after, change.batch))
        for router in local:
            self._send(router.peer_address, message)

    # Sending

    def tick(self) -> None:
        """Tell the neighbours what is believed here."""
        now = self.clock.monotonic()
        is_regular = now >= self.next_regular
        if is_regular:
            self.next_regular = now + routers.STATUS_SECONDS
            self.table.forget_silent(now)
            self._note_members(now)
        self.next_tick = self.next_regular
        self._announce(now, is_regular)

    def _note_members(self, now: float) -> None:
        self.table.alive(now)
        names = self.table.names
        self.parts.meters.routers.set(len(names) + 1)
        is_relay = self.table.is_relay(now)
        if names != self.known_names or is_relay != self.was_relay:
            logs.event(
                "routers",
                joined=",".join(sorted(names - self.known_names)),
                lost=",".join(sorted(self.known_names - names)),
                count=len(names) + 1,
                relay=is_relay,
            )
            self.known_names, self.was_relay = names, is_relay

    def _announce(self, now: float, is_regular: bool) -> None:
        """Send status messages.

        Args:
          now: Monotonic seconds.
          is_regular: Whether all that hear this router get one; otherwise those that few callers
            use wait for the next.
        """
        self.announced_at = now
        self.is_announcing = False
        targets = self._audiences(now, is_regular)
        if is_regular:
            self._close_idle(targets, now)
        router = self.table.next_beat()
        for audience in routers.Audience:
            addresses = [address for address, found in targets.items() if found is audience]
            if not addresses:
                continue
            message = gossip.encode(self._status(router, audience, now))
            for address in addresses:
                self._send(address, message)

    def _audiences(self, now: float, is_regular: bool) -> dict[str, routers.Audience]:
        """Return what each router that gets a status message is, by its address."""
        targets = {r.peer_address: self.table.audience(r, now) for r in self.table.targets(now)}
        if not is_regular:
            reserve = routers.Audience.RESERVE
            targets = {address: found for address, found in targets.items() if found != reserve}
        if not self.table.direct(now) or now - self.started_at < RELAY_SECONDS:
            for seed in self.settings.seeds:
                targets.setdefault(seed, routers.Audience.FELLOW)
        targets.pop(self.settings.reachable_address, None)
        return targets

    def _close_idle(self, targets, now: float) -> None:
        """Close connections to routers that get neither status messages nor answers."""
        answered = {a for a, at in self.answered_at.items() if now - at < routers.SILENT_SECONDS}
        for address in set(self.peers) - set(targets) - answered:
            self.peers.pop(address).close()
            self.answered_at.pop(address, None)

    def _send(self, address: str, message: bytes) -> None:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = self.connect(address)
        peer.send(message)

    def _connect(self, address: str) -> peers.Peer:
        return peers.Peer(address, self.parts.meters, KEEPALIVE_SECONDS)

    def _answer(self, router: gossip.Router, message, now: float) -> None:
        """Send a message to a router that need not be one of the targets."""
        self.answered_at[router.peer_address] = now
        self._send(router.peer_address, gossip.encode(message))

    def _status(
        self, router: gossip.Router, audience: routers.Audience, now: float
    ) -> gossip.Status:
        roster = self.table.roster(audience, now)
        for item in self.parts.index.take_news():
            milliseconds = int((item.ready_at - now) * 1000)
            self.prefixes.add(gossip.PrefixNews(item.key, item.tokens, item.holder, milliseconds))
        return gossip.Status(
            router=router,
            scope=relaying.SCOPES[audience].value,
            versions=self._versions(),
            is_following=self.knowledge.is_following(),
            roster=routers.checksum(roster) if roster else 0,
            loads=relaying.loads(self.knowledge.endpoints.states, audience, now),
            weights=self.board.news(audience),
            prefixes=self.prefixes.take(audience),
            deaths=self.deaths.take(audience),
            suspects=self.suspects.take(audience),
            lease=self.board.lease_version,
            targets=tuple(
                (model_name, version, int((now - at) * 1000))
                for model_name, target in self.knowledge.targets.items()
                for version, at in target.known_at.items()
            ),
            stores=self._stores(audience),
        )

    def _stores(self, audience: routers.Audience) -> tuple[tuple[str, int], ...]:
        """Return the epochs of cache stores: what this router watches, for its own all of them."""
        known = self.parts.index.epochs
        if self.table.is_relay(self.clock.monotonic()) and relaying.is_local(audience):
            return tuple(known.items())
        watched = self.watched_store()
        return ((watched, known[watched]),) if watched in known else ()

    # Receiving

    @functools.singledispatchmethod
    def handle(self, message):
        """Handle one message."""
        return super().handle(message)

    @handle.register
    def _announce_now(self, message: Announce) -> None:
        now = self.clock.monotonic()
        self.next_tick = min(self.next_tick, max(now, self.announced_at + PACE_SECONDS))

    @handle.register
    def _frame(self, message: Frame) -> None:
        try:
            decoded = gossip.decode(message.content)
        except errors.BronzemuxError as error:
            self.repeats.event("peer_message_rejected", "decode", cause=error.message)
            return
        self.handle(decoded)

    @handle.register
    def _take_status(self, message: gossip.Status) -> None:
        now = self.clock.monotonic()
        name = message.router.name
        if name == self.table.own.name:
            return
        known = self.table.known.get(name)
        self.table.hear(message.router, now)
        if known is None or known.router.is_ready != message.router.is_ready:
            self.announce_soon()
        self._compare_routers(message, now)
        audiences = relaying.passed_on(message, self.table, now)
        relaying.take_loads(self.knowledge.endpoints.states, message, now)
        self.board.take_news(message.weights, audiences)
        self.board.take_lease(name, message.lease, now)
        for model_name, version, milliseconds in message.targets:
            self.knowledge.note_target(model_name, version, max(0, milliseconds) / 1000)
        for item in message.prefixes:
            self._take_prefix(item, now)
            self.prefixes.add(item, audiences)
        for item in message.deaths:
            self.parts.quarantine.record_death(
                item.incarnation, item.incarnation, list(item.fingerprints), now
            )
            self.deaths.add(item, audiences)
        for incarnation in message.suspects:
            state = self.knowledge.endpoints.states.get(incarnation.rpartition("/")[0])
            if state is not None and state.endpoint.incarnation == incarnation:
                self.parts.reachability.suspect(state)
            self.suspects.add(incarnation, audiences)
        if audiences and (message.prefixes or message.deaths or message.suspects):
            self.announce_soon()
        for address, epoch in message.stores:
            if address != self.watched_store():
                self.parts.index.note_store(address, epoch)
        if message.is_following:
            self.following_heard_at = now
        self._compare(message, now)

    def _compare_routers(self, message: gossip.Status, now: float) -> None:
        """Ask for a list of routers that changed, and answer a router that is not told regularly."""
        router = message.router
        is_changed = not self.table.has_roster(router.name, message.roster)
        if is_changed and now - self.asked_at.get(router.name, -1e9) >= REPEAT_SECONDS:
            self.asked_at[router.name] = now
            self._answer(router, gossip.RosterRequest(self.table.own), now)
        is_due = now - self.answered_at.get(router.peer_address, -1e9) >= ANSWER_SECONDS
        if is_due and not self._is_target(router, now):
            self._answer(router, self._sign_of_life(now), now)

    def _is_target(self, router: gossip.Router, now: float) -> bool:
        return any(item.name == router.name for item in self.table.targets(now))

    def _sign_of_life(self, now: float) -> gossip.Status:
        """Return a status for a router that is not told news, but may ask who there is."""
        return gossip.Status(
            router=self.table.next_beat(),
            scope=relaying.Scope.OWN.value,
            versions=self._versions(),
            is_following=self.knowledge.is_following(),
            roster=routers.checksum(self.table.roster(routers.Audience.LOCAL, now)),
        )

    def _versions(self) -> dict[str, int]:
        return {name: item.changed_version for name, item in self.knowledge.replicas.items()}

    @handle.register
    def _roster_request(self, message: gossip.RosterRequest) -> None:
        now = self.clock.monotonic()
        audience, kind = routers.Audience.LOCAL, routers.ListKind.HINT
        if self._is_target(message.router, now):
            audience = self.table.audience(message.router, now)
            is_local = self.table.is_relayed_to(message.router, now)
            kind = routers.ListKind.VIEW if is_local else routers.ListKind.HEARD
        found = tuple(self.table.roster(audience, now))
        reply = gossip.RosterReply(self.table.own.name, kind.value, found)
        self._answer(message.router, reply, now)

    @handle.register
    def _roster_reply(self, message: gossip.RosterReply) -> None:
        kind = routers.ListKind(message.kind)
        self.table.take_roster(message.sender, message.routers, kind, self.clock.monotonic())

    def _take_prefix(self, item: gossip.PrefixNews, now: float) -> None:
        config = self.knowledge.configuration
        if config is None or len(item.key) != cache_index.KEY_BYTES or item.tokens < 0:
            return
        store = next((s for s in config.services.values() if s.cache_store == item.holder), None)
        capacity = store.cache_tokens if store is not None else self._capacity(item.holder, config)
        room = int(capacity * cache_index.CACHE_SHARE)
        if room:
            ready_at = now + item.milliseconds / 1000
            news = cache_index.News(item.key, item.tokens, item.holder, ready_at)
            self.parts.index.add(news, room, is_own=False)

    def _capacity(self, incarnation: str, config) -> int:
        state = self.knowledge.endpoints.states.get(incarnation.rpartition("/")[0])
        service = config.services.get(state.endpoint.service) if state is not None else None
        return service.engine.cache_tokens if service is not None and service.engine else 0

    def _compare(self, message: gossip.Status, now: float) -> None:
        for name, version in message.versions.items():
            replica = self.knowledge.replicas.get(name)
            if replica is None or version <= replica.changed_version:
                self.behind.pop(name, None)
                continue
            gap = self.behind.setdefault(name, Behind(version, now))
            is_due = now - gap.since >= BEHIND_SECONDS or self.knowledge.is_store_away()
            if (is_due or replica.version < 0) and now - gap.asked_at >= REPEAT_SECONDS:
                gap.asked_at = now
                self._answer(
                    message.router, gossip.RowsRequest(name, self.settings.reachable_address), now
                )

    @handle.register
    def _rows_request(self, message: gossip.RowsRequest) -> None:
        replica = self.knowledge.replicas.get(message.table)
        if replica is not None and replica.version >= 0:
            reply = gossip.RowsReply(message.table, replica.snapshot())
            self.answered_at[message.reply_to] = self.clock.monotonic()
            self._send(message.reply_to, gossip.encode(reply))

    @handle.register
    def _rows_reply(self, message: gossip.RowsReply) -> None:
        if message.table not in self.knowledge.replicas or not message.batch.is_whole:
            return
        batch = message.batch
        whole = rows.Batch(batch.rows, batch.version, is_whole=True)
        self.knowledge.take(message.table, whole, "peer")

    @handle.register
    def _rows_change(self, message: gossip.RowsChange) -> None:
        replica = self.knowledge.replicas.get(message.table)
        if replica is None or message.batch.is_whole or replica.changed_version < message.after:
            # The next status message shows what is missing, and all rows are asked for.
            return
        self.knowledge.take(message.table, message.batch, "relay")
