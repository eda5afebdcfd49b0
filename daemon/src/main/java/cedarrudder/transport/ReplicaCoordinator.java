package cedarrudder.transport;

import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.coordination.HistoryEntry;
import cedarrudder.forwarding.TimerService;
import cedarrudder.routetable.RouteTable;
import java.io.UncheckedIOException;
import java.util.BitSet;
import java.util.List;
import java.util.function.Function;

/**
 * What replicas decide together, on the loop's clock and the socket to the peers; what it decides
 * stands in {@link CoordinatedReplica}. It takes part while this process is the one of its number
 * that speaks, and keeps quiet before and after. It belongs to the loop's thread.
 */
public final class ReplicaCoordinator {

    /** The first bytes of datagrams that are for it. */
    private static final byte LOG_FIRST_BYTE = (byte) 0xa6;

    private static final byte REPORT_FIRST_BYTE = (byte) 0xa7;

    /** Takes up what was decided. */
    public interface Host {
        /** This table counts from now on; null: none. */
        void onTable(RouteTable table);

        /** And not from that instant on, whatever else is said or not. */
        void onLeaseExtended(long instant);

        /** What became of a command that was proposed here; null where it is not committed. */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** These endpoints are being removed. */
        void onDrainingNodes(List<RouteTable.DrainingNode> nodes);
    }

    /** Makes this replica's part at the moment at which it begins to take part. */
    public interface ReplicaFactory {
        /**
         * @param outlet takes what it causes
         * @throws UncheckedIOException if what it must not forget can't be kept
         */
        CoordinatedReplica create(CoordinatedReplica.Actions outlet, long now);

        /** It takes part no more: another process may. */
        void onStopped();
    }

    private final ProxyEventLoop loop;
    private final PeerSocket peers;
    private final ReplicaFactory factory;
    private final Host host;
    private final EventRecorder history;
    private final BitSet dead = new BitSet();
    private CoordinatedReplica replica;
    private TimerService.Timer timer;
    private long scheduledAt = Long.MAX_VALUE;
    private boolean wasLeader;

    /**
     * @param history takes what becomes known; null where nobody asked for that
     */
    public ReplicaCoordinator(
            ProxyEventLoop loop,
            PeerSocket peers,
            ReplicaFactory factory,
            Host host,
            EventRecorder history) {
        this.loop = loop;
        this.peers = peers;
        this.factory = factory;
        this.host = host;
        this.history = history;
    }

    /** Takes part from now on; on the loop. */
    public void start() {
        peers.setHandler(LOG_FIRST_BYTE, this::onMessage);
        peers.setHandler(REPORT_FIRST_BYTE, this::onMessage);
        try {
            replica = factory.create(new ReplicaActions(), loop.now());
            dead.stream().forEach(number -> replica.setAlive(number, false));
            scheduleTick();
        } catch (UncheckedIOException e) {
            onStorageFailure(e);
        }
    }

    /**
     * Hands on what it leads and takes part no more, such as before this process ends; on the loop.
     */
    public void stop() {
        apply(part -> part.transferLeadership(loop.now()));
        end();
    }

    private void end() {
        if (replica != null) {
            replica = null;
            if (timer != null) {
                timer.cancel();
            }
            factory.onStopped();
        }
    }

    /** Membership holds that a replica lives, or that it is dead. */
    public void setAlive(int number, boolean alive) {
        dead.set(number, !alive);
        if (replica != null) {
            replica.setAlive(number, alive);
        }
    }

    /** How things stand; null where this process takes no part. */
    public CoordinatedReplica.Status status() {
        return replica == null ? null : replica.status(loop.now());
    }

    /** An operator has this replica form a group; false where it can't. */
    public boolean formGroup() {
        return Boolean.TRUE.equals(apply(part -> part.formGroup(loop.now())));
    }

    /** Proposes a command of a removal, whoever leads; null where nothing is taken now. */
    public Proposal propose(byte[] command, long patience) {
        return apply(part -> part.propose(loop.now(), command, patience));
    }

    private void onMessage(int from, byte[] message) {
        apply(
                part -> {
                    part.onDatagram(loop.now(), from, message);
                    return true;
                });
    }

    private void tick() {
        scheduledAt = Long.MAX_VALUE;
        apply(
                part -> {
                    part.tick(loop.now());
                    return true;
                });
    }

    /** Null where it takes no part. */
    private <T> T apply(Function<CoordinatedReplica, T> event) {
        if (replica == null) {
            return null;
        }
        try {
            T result = event.apply(replica);
            scheduleTick();
            return result;
        } catch (UncheckedIOException e) {
            onStorageFailure(e);
            return null;
        }
    }

    /**
     * What it must not forget can't be kept. This avoids speaking of what it would have forgotten:
     * it says nothing more, and clients are served as without a table once its lease is over.
     */
    private void onStorageFailure(UncheckedIOException e) {
        loop.log().warn("consensus.stopped").with("why", e.getMessage()).write();
        end();
    }

    /** Sees to it that the next tick comes when it is due. */
    private void scheduleTick() {
        CoordinatedReplica.Status now = replica.status(loop.now());
        if (now.isLeader() != wasLeader) {
            wasLeader = now.isLeader();
            if (wasLeader) {
                loop.log().info("consensus.leadership_gained").with("term", now.term()).write();
            } else {
                loop.log().info("consensus.leadership_lost").with("term", now.term()).write();
            }
        }
        long due = replica.nextTickAt();
        if (due == scheduledAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        scheduledAt = due;
        timer = loop.at(due, this::tick);
    }

    private final class ReplicaActions implements CoordinatedReplica.Actions {
        @Override
        public void send(int to, byte[] datagram) {
            peers.send(to, datagram);
        }

        @Override
        public void onTable(RouteTable table) {
            if (table == null) {
                loop.log().warn("table.lease_expired").write();
            } else {
                loop.log()
                        .info("table.loaded")
                        .with("number", table.number())
                        .with("routes", table.routes().size())
                        .with("draining", table.draining().size())
                        .write();
            }
            host.onTable(table);
        }

        @Override
        public void onLeaseExtended(long instant) {
            host.onLeaseExtended(instant);
        }

        @Override
        public void onDrainingNodes(List<RouteTable.DrainingNode> nodes) {
            host.onDrainingNodes(nodes);
        }

        @Override
        public void onProposalSettled(
                Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            host.onProposalSettled(proposal, outcome, number);
        }

        @Override
        public void record(HistoryEntry entry) {
            if (history != null) {
                history.record(entry.event(), entry.fields());
            }
        }
    }
}
