package cedarrudder.program;

import cedarrudder.logging.Logger;
import cedarrudder.program.PersistedAdminState.AdminState;
import cedarrudder.program.ProcessHandover.SiblingProcesses;
import cedarrudder.transport.HttpServer;
import cedarrudder.transport.ProxyEventLoop;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Keeps two processes of one proxy in step during an upgrade: who else runs, what operators asked
 * of the other one, and which of them speaks to the peers. What can't be read counts as absent.
 * After {@link #join} it belongs to the event loop.
 */
final class HandoverCoordinator {

    /** What changes in this process as others come and go. */
    interface Listener {
        /** This many processes of the proxy run, which share its bounds. */
        void onProcesses(int processes);

        /** This process speaks to the peers from now on, in place of one that has ended. */
        void onSpeaker();
    }

    /** How often this process looks for others. */
    private static final long LOOK_INTERVAL_NANOS = 100_000_000L;

    /**
     * Looks at the folder after the last other process has gone: what it took back is to be seen
     * twice.
     */
    private static final int LOOKS_AFTER_LAST = 2;

    /** Looks that a successor leaves its predecessor to renew what was cleared. */
    private static final int MAX_LOOKS_FOR_PREDECESSOR = 10;

    private final ProxyEventLoop loop;
    private final Logger log;
    private final HttpServer server;
    private final EndpointAdministration endpoints;
    private final Listener listener;
    private final PersistedAdminState persisted;
    private final ProcessHandover processes;
    private SiblingProcesses others = SiblingProcesses.NONE;
    private AdminState lastRead;
    private int looksLeft;
    private int looksForPredecessor;

    /** Whether another process of this proxy speaks to the peers still. */
    private boolean silent;

    /**
     * A coordinator that looks for nobody yet.
     *
     * @param folder where processes leave word for one another; used only where operators can ask
     *     for something
     */
    HandoverCoordinator(
            ProxyEventLoop loop,
            Logger log,
            HttpServer server,
            EndpointAdministration endpoints,
            Path folder,
            Listener listener) {
        this.loop = loop;
        this.log = log;
        this.server = server;
        this.endpoints = endpoints;
        this.listener = listener;
        this.persisted = new PersistedAdminState(folder);
        this.processes = new ProcessHandover(folder);
    }

    private void warnUnreadable(Object why) {
        log.warn("state.read_failed").with("why", why).write();
    }

    // ---- the start, before the loop has it

    /** Finds out who else runs; a process that can't find out takes itself to be alone. */
    void join() throws InterruptedException {
        try {
            processes.join();
            others = processes.siblingProcesses();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
    }

    /** Whether a process of this proxy ran before this one. */
    boolean hasPredecessor() {
        return others.predecessor();
    }

    /** Whether this process is the one that speaks to the peers. */
    boolean claimSpeaker() {
        try {
            return processes.claimSpeaker();
        } catch (IOException e) {
            warnUnreadable(e.toString());
            return true;
        }
    }

    // ---- on the loop

    /** Another process speaks to the peers for now. */
    void setSilent(boolean otherSpeaks) {
        silent = otherSpeaks;
    }

    /**
     * Takes what operators asked for before this process began, and looks for others from now on.
     */
    void start() {
        restore();
        listener.onProcesses(processCount());
        look();
    }

    private int processCount() {
        return others.any() ? 2 : 1;
    }

    /** How many processes share the bounds of the proxy. */
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

    /** Looks who else runs, and what operators have asked of it. */
    private void look() {
        loop.at(loop.now() + LOOK_INTERVAL_NANOS, this::look);
        try {
            renewFolder();
            SiblingProcesses now = processes.siblingProcesses();
            logChange(now);
            boolean anyNow = now.any() || others.any();
            looksLeft = anyNow ? LOOKS_AFTER_LAST : Math.max(0, looksLeft - 1);
            others = now;
            if (silent && processes.claimSpeaker()) {
                silent = false;
                listener.onSpeaker();
            }
            if (looksLeft > 0) {
                listener.onProcesses(processCount());
                follow(persisted.read());
            }
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
    }

    private void logChange(SiblingProcesses now) {
        if (!now.equals(others)) {
            log.info("upgrade.processes_changed")
                    .with("predecessor", now.predecessor())
                    .with("successor", now.successor())
                    .with("ready", now.successorReady())
                    .write();
        }
    }

    /**
     * Renews what operators have asked for where somebody has cleared the folder: it would be gone
     * at the next start, and two processes would not see each other. A successor leaves that to its
     * predecessor for a while, since it may not have read all of it yet.
     */
    private void renewFolder() throws IOException {
        try {
            boolean may = true;
            if (others.predecessor()) {
                looksForPredecessor++;
                may = looksForPredecessor > MAX_LOOKS_FOR_PREDECESSOR;
            }
            if (processes.rejoinIfReplaced(may, this::persistAll)) {
                log.warn("state.restored").write();
            }
            looksForPredecessor = 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop ends
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
     * Does what operators asked of another process of this proxy. What is taken back has to be gone
     * at two looks in turn, since a look may fall into the folder's being cleared.
     */
    private void follow(AdminState state) {
        AdminState before = lastRead;
        lastRead = state;
        state.disabled().forEach(endpoints::disable);
        for (String name : endpoints.overrides().disabled()) {
            boolean goneTwice =
                    before != null
                            && !before.disabled().contains(name)
                            && !state.disabled().contains(name);
            if (goneTwice) {
                endpoints.enable(name);
            }
        }
        if (state.drained()) {
            server.drainByOperator();
        } else if (before != null && !before.drained()) {
            server.resumeByOperator();
        }
    }

    /** Tells other processes that this one is ready, before operators see it. */
    void announceReady() {
        try {
            processes.markReady();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the loop ends
        }
    }

    /** Whether a successor is ready to take this one's clients. */
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
     * Whether this process speaks to the peers and has to stop now; it does not become the speaker
     * any more.
     */
    boolean endSpeaking() {
        boolean spoke = !silent;
        silent = false;
        return spoke;
    }

    /** A successor may speak to the peers now. */
    void releaseSpeaker() {
        try {
            processes.releaseSpeaker();
        } catch (IOException e) {
            warnUnreadable(e.toString());
        }
    }

    // ---- what operators ask of this process

    /** A change of what is persisted. */
    interface Change {
        void persist(PersistedAdminState state) throws IOException;
    }

    /**
     * Persists a change before it is carried out: a new process has to know of it once the operator
     * has a yes.
     *
     * @return whether it was persisted
     */
    boolean persist(Change change) {
        try {
            renewFolder(); // first, so that this change is not undone with the rest
            change.persist(persisted);
            return true;
        } catch (IOException e) {
            log.warn("state.write_failed").with("why", e.toString()).write();
            return false;
        }
    }
}
