package cedarrudder.program;

import cedarrudder.Balancer.ZoneShare;
import cedarrudder.agreement.LogNumber;
import cedarrudder.agreement.Outcome;
import cedarrudder.agreement.Proposal;
import cedarrudder.agreement.Store;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.fleet.FleetCopy;
import cedarrudder.fleet.Removal;
import cedarrudder.fleet.Shares;
import cedarrudder.footprint.Room;
import cedarrudder.logging.Logger;
import cedarrudder.operator.TogetherSettings;
import cedarrudder.routing.Driver;
import cedarrudder.table.RouteTable;
import cedarrudder.transport.Fleet;
import cedarrudder.transport.Loop;
import cedarrudder.transport.Membership;
import cedarrudder.transport.Notes;
import cedarrudder.transport.PeerSocket;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * What this proxy decides with the others of its tier, wired to what it does. On the loop's thread.
 */
final class Together implements Fleet.Host, Fleet.Maker {

    /**
     * What a proxy is, beside what its operators set.
     *
     * @param room what it can load beside a table that it holds, which may be null
     */
    record Self(
            int[] zones,
            int number,
            LongSupplier wallClock,
            RandomGenerator random,
            Function<RouteTable, Room> room) {}

    /** A history tells of calls that go by a table this often at the most. */
    private static final long SAID_APART = 100_000_000L;

    private final Self self;
    private final TogetherSettings settings;
    private final Driver<?, ?> driver;
    private final Consumer<Set<Long>> leaving;
    private final Failovers failovers;
    private final Removals removals;
    private final Loop loop;
    private final Notes notes;
    private final Logger log;
    private final Fleet fleet;
    private final BitSet dead = new BitSet();
    private FileStore store;
    private RouteTable table;
    private long saidAt;

    /**
     * @param leaving takes the numbers of all nodes that are being removed, whenever that changes
     * @param failovers null where operators have not asked for them
     * @param removals null where operators have no policies
     */
    Together(
            Loop loop,
            PeerSocket peers,
            Membership membership,
            TogetherSettings settings,
            Self self,
            Driver<?, ?> driver,
            Consumer<Set<Long>> leaving,
            Failovers failovers,
            Removals removals,
            Notes notes,
            Logger log) {
        this.settings = settings;
        this.self = self;
        this.driver = driver;
        this.leaving = leaving;
        this.failovers = failovers;
        this.removals = removals;
        this.loop = loop;
        this.notes = notes;
        this.log = log;
        this.fleet = new Fleet(loop, peers, this, this, notes);
        membership.onEach(this::lives);
        if (notes != null) {
            driver.onShared(() -> used(loop.now()));
        }
    }

    /**
     * The zone of each copy.
     *
     * @param names of all zones, by number
     * @param own the zone of this copy
     * @throws IllegalArgumentException if they are not those of these copies
     */
    static int[] zones(
            TogetherSettings settings, List<String> names, int copies, int self, int own) {
        int[] zones = new int[copies];
        if (settings.zones().isEmpty() && names.size() <= 1) {
            return zones;
        }
        if (settings.zones().size() != copies) {
            throw new IllegalArgumentException(
                    "agreement.zones: found "
                            + settings.zones().size()
                            + " with "
                            + copies
                            + " peers and "
                            + names.size()
                            + " zones; allowed: the zone of each peer, in "
                            + "their order");
        }
        for (int i = 0; i < copies; i++) {
            zones[i] = names.indexOf(settings.zones().get(i));
            if (zones[i] < 0) {
                throw new IllegalArgumentException(
                        "agreement.zones: found "
                                + settings.zones().get(i)
                                + "; allowed: "
                                + String.join(", ", names));
            }
        }
        if (zones[self] != own) {
            throw new IllegalArgumentException(
                    "agreement.zones: found "
                            + settings.zones().get(self)
                            + " for this proxy, number "
                            + self
                            + "; allowed: its zone in the settings, "
                            + (own >= 0 && own < names.size()
                                    ? names.get(own)
                                    : Integer.toString(own)));
        }
        return zones;
    }

    Fleet fleet() {
        return fleet;
    }

    @Override
    public FleetCopy make(FleetCopy.Outlet outlet, long now) {
        int copies = self.zones.length;
        store =
                settings.folder() == null
                        ? null
                        : new FileStore(settings.folder(), self.number, copies, log);
        Store kept = store == null ? Store.NONE : store;
        if (notes != null) {
            notes.note("joins", Map.of("kept", kept.kept() == null ? 0 : 1));
        }
        return new FleetCopy(
                self.zones,
                self.number,
                Math.max(1, self.wallClock.getAsLong()),
                settings.agreement(),
                settings.fleet(),
                kept,
                self.random,
                failovers == null ? Shares.NONE : failovers,
                removals == null ? Removal.NONE : removals.begin(now),
                () -> self.room.apply(table),
                outlet,
                now);
    }

    @Override
    public void ended() {
        if (store != null) {
            store.close();
        }
    }

    private void lives(int copy, boolean lives) {
        dead.set(copy, !lives);
        fleet.lives(copy, lives);
        if (table != null && self.zones[copy] == self.zones[self.number]) {
            table(table);
        }
    }

    /** Operators leave other zones from now on. */
    void apply(FailoverSettings next) {
        if (failovers != null) {
            failovers.apply(next);
        }
    }

    /**
     * Shares of this copy's zone; what a zone's callers may send a second is divided by its live
     * copies.
     */
    @Override
    public void table(RouteTable next) {
        if (failovers != null && next != table) {
            failovers.loaded(loop.now(), next);
        }
        table = next;
        int own = self.zones[self.number];
        int living = 0;
        for (int copy = 0; copy < self.zones.length; copy++) {
            living += self.zones[copy] == own && (copy == self.number || !dead.get(copy)) ? 1 : 0;
        }
        int divided = living;
        driver.shares(
                next == null
                        ? List.of()
                        : next.shares().stream()
                                .filter(share -> share.from() == own)
                                .map(
                                        share ->
                                                new ZoneShare(
                                                        share.to(),
                                                        share.parts(),
                                                        share.perSecond() == 0
                                                                ? 0
                                                                : Math.max(
                                                                        1,
                                                                        share.perSecond()
                                                                                / divided)))
                                .toList());
    }

    /** Guards against a judge that can't tell when a table was still used. */
    private void used(long now) {
        if (table != null && now - saidAt >= SAID_APART) {
            saidAt = now;
            notes.note("used", Map.of("number", table.number()));
        }
    }

    @Override
    public void settled(Proposal proposal, Outcome outcome, LogNumber number) {
        if (removals == null || !removals.settled(proposal, outcome)) {
            log.info("agreement.settled").with("outcome", outcome).write();
        }
    }

    @Override
    public void until(long instant) {
        driver.sharesUntil(instant);
    }

    @Override
    public void leaving(List<RouteTable.Leaving> nodes) {
        Set<Long> numbers = new HashSet<>();
        nodes.forEach(node -> numbers.add(node.node()));
        leaving.accept(numbers);
    }
}
