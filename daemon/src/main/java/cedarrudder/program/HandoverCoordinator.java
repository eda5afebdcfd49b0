package cedarrudder.program;

import cedarrudder.forwarding.StartedRequestIds;
import cedarrudder.logging.Logger;
import cedarrudder.program.PersistedAdminState.AdminState;
import cedarrudder.program.ProcessHandover.SiblingProcesses;
import cedarrudder.transport.HttpServer;
import cedarrudder.transport.ProxyEventLoop;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Coordinates the processes of one proxy during an upgrade: which others run, what operators
 * requested from them, and which one has the peer role, that is, communicates with the peers. State
 * that can't be read counts as absent. After {@link #join} an instance belongs to the event loop.
 */
final class HandoverCoordinator {

    /** Receives the changes that follow from the start or end of other processes. */
    interface Listener {
        /** Called with the number of processes that run and share the limits of the proxy. */
        void onProcesses(int processes);

        /**
         * Called when this process acquires the peer role, in place of a process that has ended.
         */
        void onPeerRoleAcquired();
    }

    /** The interval at which this process polls for others. */
    private static final long POLL_INTERVAL_NANOS = 100_000_000L;

    /**
     * The polls of the folder after the last other process has ended: a withdrawn request has to be
     * absent at two polls.
     */
    private static final int POLLS_AFTER_LAST_PROCESS = 2;

    /**
     * The maximum number of polls during which a successor waits for its predecessor to restore a
     * cleared folder.
     */
    private static final int MAX_POLLS_AWAITING_PREDECESSOR = 10;

    private final ProxyEventLoop loop;
    private final Logger log;
    private final HttpServer server;
    private final EndpointAdministration endpoints;
    private final Path folder;
    private final StartedRequestIds startedRequests;
    private final Listener listener;
    private final PersistedAdminState persisted;
    private final ProcessHandover processes;
    private SiblingProcesses siblings = SiblingProcesses.NONE;
    private AdminState lastRead;
    private int pollsLeft;
    private int pollsAwaitingPredecessor;

    /** Another process of this proxy still has the peer role. */
    private boolean otherHasPeerRole;

    /**
     * Creates a coordinator that does not poll for other processes yet.
     *
     * @param folder the folder through which processes exchange state; used only where the proxy
     *     has an administrative address
     * @param startedRequests the ids that the processes share
     */
    HandoverCoordinator(
            ProxyEventLoop loop,
            Logger log,
            HttpServer server,
            EndpointAdministration endpoints,
            Path folder,
            StartedRequestIds startedRequests,
            Listener listener) {
        this.loop = loop;
        this.log = log;
        this.server = server;
        this.endpoints = endpoints;
        this.folder = folder;
        this.startedRequests = startedRequests;
        this.listener = listener;
        this.persisted = new PersistedAdminState(folder);
        this.processes = new ProcessHandover(folder);
    }

    private void warnUnreadable(Object why) {
        log.warn("state.read_failed").with("why", why).write();
    }

    // ---- start, before the instance belongs to the loop

    /**
     * Registers this process and finds the others; if that fails, the process acts as the only one.
     */
    void join() throws InterruptedException {
        try {
            processes.join();
            siblings = processes.siblingProcesses();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
        shareStartedRequests();
    }

    /** Shares the ids of started requests with the other processes. */
    private void shareStartedRequests() {
        if (processes.ownSlot() < 0) {
            return;
        }
        try {
            startedRequests.share(StartedRequestsFile.map(folder), processes.ownSlot(), loop.now());
        } catch (IOException e) {
            log.warn("state.write_failed").with("why", e.toString()).write();
        }
    }

    /** Returns whether another process of this proxy ran before this one. */
    boolean hasPredecessor() {
        return siblings.predecessor();
    }

    /** Acquires the peer role; returns whether this process has it. */
    boolean claimPeerRole() {
        try {
            return processes.claimPeerRole();
        } catch (IOException e) {
            warnUnreadable(e.toString());
            return true;
        }
    }

    // ---- on the loop

    /** Sets whether another process has the peer role for now. */
    void setOtherHasPeerRole(boolean otherSpeaks) {
        otherHasPeerRole = otherSpeaks;
    }

    /**
     * Applies the operators' requests from before this process started, and starts polling for
     * other processes.
     */
    void start() {
        restore();
        listener.onProcesses(processCount());
        poll();
    }

    private int processCount() {
        return siblings.any() ? 2 : 1;
    }

    /** Returns the number of processes that share the limits of the proxy. */
    int processes() {
        return processCount();
    }

    private void restore() {
        try {
            AdminState state = persisted.read();
            state.disabled().forEach(endpoints.overrides()::disable);
            if (state.drained()) {
                server.drainByOperator();
            }
        } catch (IOException e) {
            warnUnreadable(e.getMessage());
        }
    }

    /** Polls for other processes and for what operators have requested from them. */
    private void poll() {
        loop.at(loop.now() + POLL_INTERVAL_NANOS, this::poll);
        try {
            renewFolder();
            SiblingProcesses now = processes.siblingProcesses();
            logChange(now);
            boolean anyNow = now.any() || siblings.any();
            pollsLeft = anyNow ? POLLS_AFTER_LAST_PROCESS : Math.max(0, pollsLeft - 1);
            siblings = now;
            if (otherHasPeerRole && processes.claimPeerRole()) {
                otherHasPeerRole = false;
                listener.onPeerRoleAcquired();
            }
            if (pollsLeft > 0) {
                listener.onProcesses(processCount());
                applyRequests(persisted.read());
            }
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
    }

    private void logChange(SiblingProcesses now) {
        if (!now.equals(siblings)) {
            log.info("upgrade.processes_changed")
                    .with("predecessor", now.predecessor())
                    .with("successor", now.successor())
                    .with("ready", now.successorReady())
                    .write();
        }
    }

    /**
     * Restores the operators' requests if the folder has been cleared: otherwise they would be lost
     * at the next start, and two processes would not find each other. A successor leaves that to
     * its predecessor for a while, since the successor may not have read all requests yet.
     */
    private void renewFolder() throws IOException {
        try {
            boolean mayRestore = true;
            if (siblings.predecessor()) {
                pollsAwaitingPredecessor++;
                mayRestore = pollsAwaitingPredecessor > MAX_POLLS_AWAITING_PREDECESSOR;
            }
            if (processes.rejoinIfReplaced(mayRestore, this::persistAll)) {
                shareStartedRequests();
                log.warn("state.restored").write();
            }
            pollsAwaitingPredecessor = 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop is ending
        }
    }

    private void persistAll() throws IOException {
        lastRead = null;
        for (String name : endpoints.overrides().disabled()) {
            persisted.disable(name);
        }
        if (server.isDrained()) {
            persisted.drain();
        }
    }

    /**
     * Applies what operators requested from another process of this proxy. A withdrawn request has
     * to be absent at two consecutive polls, since a poll may coincide with the clearing of the
     * folder.
     */
    private void applyRequests(AdminState state) {
        AdminState before = lastRead;
        lastRead = state;
        state.disabled().forEach(endpoints::disable);
        for (String name : endpoints.overrides().disabled()) {
            boolean absentTwice =
                    before != null
                            && !before.disabled().contains(name)
                            && !state.disabled().contains(name);
            if (absentTwice) {
                endpoints.enable(name);
            }
        }
        if (state.drained()) {
            server.drainByOperator();
        } else if (before != null && !before.drained()) {
            server.resumeByOperator();
        }
    }

    /** Notifies other processes that this one is ready, before operators see that. */
    void announceReady() {
        try {
            processes.markReady();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop is ending
        }
    }

    /** Returns whether a successor is ready to accept the clients of this process. */
    boolean isSuccessorReady() {
        try {
            renewFolder();
            return processes.siblingProcesses().successorReady();
        } catch (IOException e) {
            warnUnreadable(e.toString());
            return false;
        }
    }

    /**
     * Stops acquiring the peer role, and returns whether this process has it and has to stop
     * communicating with the peers.
     */
    boolean endPeerRole() {
        boolean hadPeerRole = !otherHasPeerRole;
        otherHasPeerRole = false;
        return hadPeerRole;
    }

    /** Releases the peer role, so that a successor can acquire it. */
    void releasePeerRole() {
        try {
            processes.releasePeerRole();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
    }

    // ---- operators' requests to this process

    /** A change of the persisted state. */
    interface Change {
        void persist(PersistedAdminState state) throws IOException;
    }

    /**
     * Persists a change before it is carried out: a new process has to know of the change once the
     * operator has received a confirmation.
     *
     * @return whether the change was persisted
     */
    boolean persist(Change change) {
        try {
            renewFolder(); // first, so that this change is not overwritten by restored state
            change.persist(persisted);
            return true;
        } catch (IOException e) {
            log.warn("state.write_failed").with("why", e.toString()).write();
            return false;
        }
    }
}
