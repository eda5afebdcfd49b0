package cedarrudder.lab.model;

/**
 * What a proxy sends to a node on a connection of its own: an attempt or a probe. It takes the idle
 * connection used last, or opens one; a connection carries one of them at a time.
 */
abstract class ProxyConnection extends Task {

    /** Where it is. In the hands of the node it waits for nothing in the agenda. */
    enum Phase {
        NEW,
        OPENING,
        OPENED,
        REFUSED,
        WRITTEN,
        AT_NODE,
        ANSWERED
    }

    final Run run;
    final ProxyInstance proxy;
    final Channel channel;
    final Node node;

    /** The life of the machine that the connection leads to; a message of another life is reset. */
    int machine;

    Phase phase = Phase.NEW;

    /** The proxy waits for it no longer. */
    boolean over;

    /** When it was written to the connection. */
    long writtenAt;

    private long openedBy;
    private boolean accepted;
    private long dueAt;

    ProxyConnection(Run run, ProxyInstance proxy, Channel channel) {
        this.run = run;
        this.proxy = proxy;
        this.channel = channel;
        this.node = channel.node;
    }

    // ---- at the proxy ----

    final void go() {
        if (channel.take(run.agenda.now())) {
            machine = channel.taken;
            writeIfWanted();
            return;
        }
        phase = Phase.OPENING;
        openedBy = run.agenda.now() + node.drawn.connectTimeout();
        arriveAfter(oneWay());
    }

    /**
     * On the connection that it has now, which goes back to the idle ones where it may not begin.
     */
    private void writeIfWanted() {
        if (!begins()) {
            channel.give(machine, run.agenda.now());
            return;
        }
        phase = Phase.WRITTEN;
        writtenAt = run.agenda.now();
        arriveAfter(oneWay());
    }

    /** Whether it may go out now; where not, it is over. */
    abstract boolean begins();

    private void arriveAfter(long delay) {
        dueAt = run.agenda.now() + delay;
        run.agenda.at(dueAt, this);
    }

    final long oneWay() {
        return run.network.nodes(proxy.zone, node.zone);
    }

    /**
     * Stops waiting for it: its connection is closed, which the node learns when the news of it
     * arrives. This avoids that news overtaking the request.
     */
    final void giveUp() {
        over = true;
        switch (phase) {
            case WRITTEN ->
                    run.agenda.at(
                            Math.max(run.agenda.now() + oneWay(), dueAt + 1), new Hangup(this));
            case AT_NODE -> run.agenda.at(run.agenda.now() + oneWay(), new Hangup(this));
            case ANSWERED -> {
                run.agenda.cancel(this);
                run.agenda.at(run.agenda.now() + oneWay(), new Hangup(this));
            }
            default -> {} // the connection is closed once it is up, or never comes up
        }
    }

    @Override
    protected final void run() {
        over |= !proxy.alive;
        switch (phase) {
            case OPENING -> knock();
            case OPENED -> opened();
            case REFUSED -> {
                if (accepted && machine == node.incarnation) {
                    node.connections--;
                }
                end(Ending.NO_CONNECTION);
            }
            case WRITTEN -> arrive();
            case ANSWERED -> end(Ending.ANSWER);
            default -> throw new IllegalStateException("nothing is due in " + phase);
        }
    }

    /** The first message of a connection comes to the node's address. */
    private void knock() {
        long now = run.agenda.now();
        phase = Phase.REFUSED;
        if (!node.hears()) {
            run.agenda.at(openedBy, this);
            return;
        }
        accepted = node.accepts();
        machine = node.incarnation;
        if (!node.speaks()) {
            run.agenda.at(openedBy, this);
        } else if (!accepted) {
            run.agenda.at(Math.min(openedBy, now + oneWay()), this);
        } else {
            long left = (long) (Math.max(0, 2 * node.drawn.handshakeTrips() - 1) * oneWay());
            phase = now + left <= openedBy ? Phase.OPENED : Phase.REFUSED;
            run.agenda.at(Math.min(openedBy, now + left), this);
        }
    }

    private void opened() {
        if (machine != node.incarnation) {
            end(Ending.NO_CONNECTION);
        } else if (over) {
            node.connections--;
        } else {
            writeIfWanted();
        }
    }

    private void end(Ending how) {
        if (over) {
            return;
        }
        over = true;
        if (how == Ending.ANSWER && !broke()) {
            channel.give(machine, run.agenda.now());
        }
        ended(how);
    }

    /** How a wait at the proxy ended: for want of a connection, or with what the node sent. */
    enum Ending {
        NO_CONNECTION,
        ANSWER
    }

    /** It has ended; to be told to the driver. */
    abstract void ended(Ending how);

    /** Whether what came back is the end of the connection. */
    abstract boolean broke();

    // ---- at the node ----

    private void arrive() {
        phase = Phase.AT_NODE;
        if (!node.hears()) {
            return;
        }
        if (machine != node.incarnation || !node.up()) {
            reset();
        } else {
            reached();
        }
    }

    /** The connection breaks; the proxy learns it if the node's messages get through. */
    abstract void reset();

    /** The node has it whole. */
    abstract void reached();

    /** Sends what the node says of it to the proxy. */
    final void answer() {
        if (!over && proxy.alive && node.speaks()) {
            phase = Phase.ANSWERED;
            arriveAfter(oneWay());
        }
    }

    /** The news that a proxy has closed the connection. */
    static final class Hangup extends Task {
        private final ProxyConnection of;

        Hangup(ProxyConnection of) {
            this.of = of;
        }

        @Override
        protected void run() {
            if (of.machine == of.node.incarnation) {
                of.node.connections--;
                if (of.node.hears()) {
                    of.leftAtNode();
                }
            }
        }
    }

    /** The node learns that nobody waits for it any more. */
    abstract void leftAtNode();
}
