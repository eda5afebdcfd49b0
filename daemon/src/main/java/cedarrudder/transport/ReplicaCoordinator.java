package cedarrudder.transport;

import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.forwarding.TimerService;
import cedarrudder.routetable.RouteTable;
import java.io.UncheckedIOException;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What replicas decide together, on the loop's clock and the socket to the peers; what it decides
 * stands in {@link CoordinatedReplica}. It takes part while this process is the one of its number
 * that speaks, and keeps quiet before and after. It belongs to the loop's thread.
 */
public final class ReplicaCoordinator {

    /** The first bytes of datagrams that are for it. */
    private static final byte LOG = (byte) 0xa6;

    private static final byte BESIDE = (byte) 0xa7;

    /** Takes up what was decided. */
    public interface Host {
        /** This table counts from now on; null: none. */
        void table(RouteTable table);

        /** And not from that instant on, whatever else is said or not. */
        void until(long instant);

        /** What became of a command that was proposed here; null where it is not committed. */
        void settled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** These endpoints are being removed. */
        void leaving(List<RouteTable.DrainingNode> nodes);
    }

    /** Makes this replica's part at the moment at which it begins to take part. */
    public interface Maker {
        /**
         * @param outlet takes what it causes
         * @throws UncheckedIOException if what it must not forget can't be kept
         */
        CoordinatedReplica make(CoordinatedReplica.Actions outlet, long now);

        /** It takes part no more: another process may. */
        void ended();
    }

    private final ProxyEventLoop loop;
    private final PeerSocket peers;
    private final Maker maker;
    private final Host host;
    private final EventRecorder notes;
    private final BitSet dead = new BitSet();
    private CoordinatedReplica replica;
    private TimerService.Timer timer;
    private long wakesAt = Long.MAX_VALUE;
    private boolean led;

    /**
     * @param notes takes what becomes known; null where nobody asked for that
     */
    public ReplicaCoordinator(
            ProxyEventLoop loop, PeerSocket peers, Maker maker, Host host, EventRecorder notes) {
        this.loop = loop;
        this.peers = peers;
        this.maker = maker;
        this.host = host;
        this.notes = notes;
    }

    /** Takes part from now on; on the loop. */
    public void start() {
        peers.hearer(LOG, this::heard);
        peers.hearer(BESIDE, this::heard);
        try {
            replica = maker.make(new Out(), loop.now());
            dead.stream().forEach(number -> replica.setAlive(number, false));
            wake();
        } catch (UncheckedIOException e) {
            stopped(e);
        }
    }

    /**
     * Hands on what it leads and takes part no more, such as before this process ends; on the loop.
     */
    public void leave() {
        act(part -> part.stop(loop.now()));
        end();
    }

    private void end() {
        if (replica != null) {
            replica = null;
            if (timer != null) {
                timer.cancel();
            }
            maker.ended();
        }
    }

    /** Membership holds that a replica lives, or that it is dead. */
    public void lives(int number, boolean lives) {
        dead.set(number, !lives);
        if (replica != null) {
            replica.setAlive(number, lives);
        }
    }

    /** How things stand; null where this process takes no part. */
    public CoordinatedReplica.Status status() {
        return replica == null ? null : replica.status(loop.now());
    }

    /** An operator has this replica form a group; false where it can't. */
    public boolean form() {
        return Boolean.TRUE.equals(act(part -> part.formGroup(loop.now())));
    }

    /** Proposes a command of a removal, whoever leads; null where nothing is taken now. */
    public Proposal propose(byte[] command, long patience) {
        return act(part -> part.propose(loop.now(), command, patience));
    }

    private void heard(int from, byte[] message) {
        act(
                part -> {
                    part.onDatagram(loop.now(), from, message);
                    return true;
                });
    }

    private void tick() {
        wakesAt = Long.MAX_VALUE;
        act(
                part -> {
                    part.tick(loop.now());
                    return true;
                });
    }

    /** Null where it takes no part. */
    private <T> T act(Function<CoordinatedReplica, T> event) {
        if (replica == null) {
            return null;
        }
        try {
            T result = event.apply(replica);
            wake();
            return result;
        } catch (UncheckedIOException e) {
            stopped(e);
            return null;
        }
    }

    /**
     * What it must not forget can't be kept. This avoids speaking of what it would have forgotten:
     * it says nothing more, and clients are served as without a table once its lease is over.
     */
    private void stopped(UncheckedIOException e) {
        loop.log().warn("agreement.stopped").with("why", e.getMessage()).write();
        end();
    }

    /** Sees to it that the next tick comes when it is due. */
    private void wake() {
        CoordinatedReplica.Status now = replica.status(loop.now());
        if (now.leads() != led) {
            led = now.leads();
            if (led) {
                loop.log().info("agreement.leads").with("term", now.term()).write();
            } else {
                loop.log().info("agreement.follows").with("term", now.term()).write();
            }
        }
        long due = replica.due();
        if (due == wakesAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        wakesAt = due;
        timer = loop.at(due, this::tick);
    }

    private final class Out implements CoordinatedReplica.Actions {
        @Override
        public void send(int to, byte[] datagram) {
            peers.send(to, datagram);
        }

        @Override
        public void onTable(RouteTable table) {
            if (table == null) {
                loop.log().warn("table.lapsed").write();
            } else {
                loop.log()
                        .info("table.loaded")
                        .with("number", table.number())
                        .with("shares", table.routes().size())
                        .with("leaving", table.draining().size())
                        .write();
            }
            host.table(table);
        }

        @Override
        public void onLeaseExtended(long instant) {
            host.until(instant);
        }

        @Override
        public void onDrainingNodes(List<RouteTable.DrainingNode> nodes) {
            host.leaving(nodes);
        }

        @Override
        public void onProposalSettled(
                Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            host.settled(proposal, outcome, number);
        }

        @Override
        public void record(String what, Map<String, String> fields) {
            if (notes != null) {
                notes.note(what, fields);
            }
        }
    }
}
