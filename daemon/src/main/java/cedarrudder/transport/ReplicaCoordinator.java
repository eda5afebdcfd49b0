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
 * Runs the coordination of replicas on the event loop's clock and the peer socket; {@link
 * CoordinatedReplica} makes the decisions. Takes part only while this process is the active one of
 * its replica number, and sends nothing before and after. Used on the event loop only.
 */
public final class ReplicaCoordinator {

    /** The first bytes of the datagrams of the log and of the reports. */
    private static final byte LOG_FIRST_BYTE = (byte) 0xa6;

    private static final byte REPORT_FIRST_BYTE = (byte) 0xa7;

    /** Receives the decisions. */
    public interface Host {
        /** Sets the table that applies from now on; null: none. */
        void onTable(RouteTable table);

        /**
         * Sets the instant from which the table no longer applies, unless a later instant is set
         * before.
         */
        void onLeaseExtended(long instant);

        /**
         * Reports the outcome of a command that was proposed here; the position is null if it is
         * not committed.
         */
        void onProposalSettled(Proposal proposal, ProposalOutcome outcome, LogPosition number);

        /** Sets the list of endpoints that are being drained. */
        void onDrainingNodes(List<RouteTable.DrainingNode> nodes);
    }

    /** Creates the replica when this process begins to take part. */
    public interface ReplicaFactory {
        /**
         * Creates the replica.
         *
         * @param actions receives the outputs of the replica
         * @throws UncheckedIOException if its state can't be persisted
         */
        CoordinatedReplica create(CoordinatedReplica.Actions actions, long now);

        /** Called when this process no longer takes part: another process may. */
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
     * Creates a coordinator that does not take part before {@link #start}.
     *
     * @param history records events of the protocol; null if none are to be recorded
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

    /** Starts to take part; called on the event loop. */
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
     * Transfers leadership, if this replica leads, and stops taking part, for example before this
     * process ends; called on the event loop.
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

    /** Records whether membership considers a replica live or dead. */
    public void setAlive(int number, boolean alive) {
        dead.set(number, !alive);
        if (replica != null) {
            replica.setAlive(number, alive);
        }
    }

    /** Returns the state of the replica; null if this process takes no part. */
    public CoordinatedReplica.Status status() {
        return replica == null ? null : replica.status(loop.now());
    }

    /** Forms a group on an operator's command; returns false if that is not possible. */
    public boolean formGroup() {
        return Boolean.TRUE.equals(apply(part -> part.formGroup(loop.now())));
    }

    /**
     * Proposes a drain command, whichever replica leads; returns null if no command is accepted
     * now.
     *
     * @param timeout the time after which the outcome is reported, in nanoseconds
     */
    public Proposal propose(byte[] command, long timeout) {
        return apply(part -> part.propose(loop.now(), command, timeout));
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

    /** Applies an event to the replica; returns null if this process takes no part. */
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
     * Stops taking part because the state can't be persisted: messages must not refer to state that
     * would be lost. Nothing more is sent, and clients are served without a table once its lease
     * has expired.
     */
    private void onStorageFailure(UncheckedIOException e) {
        loop.log().warn("consensus.stopped").with("why", e.getMessage()).write();
        end();
    }

    /** Logs a change of leadership and schedules the next tick for when it is due. */
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
