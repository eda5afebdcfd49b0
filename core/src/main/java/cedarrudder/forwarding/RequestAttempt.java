package cedarrudder.forwarding;

import cedarrudder.budget.PropagatedBudget;

/**
 * One attempt at a request, at one endpoint. The attempts of a request are numbered from 0, in the
 * order sent.
 *
 * @param <Q> what is forwarded
 * @param <A> what an endpoint answers
 */
public final class RequestAttempt<Q, A> {

    /** How far an attempt has gone; it only goes on, and may leave states out. */
    private enum State {
        /** No byte is out: it waits for its connection, and its endpoint knows nothing of it. */
        WAITING,
        /** Its first byte may be out, its last is not: its endpoint does not execute it yet. */
        WRITING,
        /** Its last byte is out: it may have been executed. */
        EXECUTING,
        /** It has its outcome. */
        ENDED
    }

    private static final long NOT_YET = 0;

    private final Exchange<Q, A> exchange;
    private final int number;
    private final long endpoint;
    private final long startedAt;
    private final int zone;
    private State state = State.WAITING;
    private boolean countedForZone = true;
    private long latencyFrom;
    private long responseAt = NOT_YET;
    private PropagatedBudget propagatedBudget;

    RequestAttempt(Exchange<Q, A> exchange, int number, long endpoint, long latencyFrom, int zone) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.startedAt = latencyFrom;
        this.zone = zone;
        this.latencyFrom = latencyFrom;
    }

    /** The exchange that it belongs to. */
    public Exchange<Q, A> exchange() {
        return exchange;
    }

    /** The endpoint that it goes to. */
    public long endpoint() {
        return endpoint;
    }

    /** Its number among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** The instant at which the balancer started it. */
    public long startedAt() {
        return startedAt;
    }

    /** The one place where its state changes; false, without effect, where it has gone as far. */
    private boolean advance(State next) {
        if (state.compareTo(next) >= 0) {
            return false;
        }
        state = next;
        return true;
    }

    /** Its first byte is about to go out. */
    void startWriting() {
        advance(State.WRITING);
    }

    /** Whether it waits for its connection, so that no byte of it is out. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /**
     * Its last byte is written; the attempt transport calls this. The endpoint executes it from now
     * on, so where its body was streamed, its latency counts from here.
     */
    public void writeComplete(long now) {
        if (advance(State.EXECUTING) && exchange.isUpload()) {
            latencyFrom = now;
        }
    }

    /** Whether it has been written and has no outcome yet. */
    boolean isExecuting() {
        return state == State.EXECUTING;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    /** Ends it; false where it had ended, so that none has two outcomes. */
    boolean end() {
        return advance(State.ENDED);
    }

    /** Its response has begun to stream to the client. */
    void responseStarted(long now) {
        responseAt = now;
    }

    /** Whether its response was streamed, from its start on. */
    boolean isStreaming() {
        return responseAt != NOT_YET;
    }

    /** How long it took by now; of a streamed response, until it began. */
    long latencyNanos(long now) {
        return (isStreaming() ? responseAt : now) - latencyFrom;
    }

    /** The zone that it is counted for; {@link RequestAccounting#NO_ZONE}: none. */
    int zone() {
        return countedForZone ? zone : RequestAccounting.NO_ZONE;
    }

    /** From now on it is counted for no zone. */
    void leaveZone() {
        countedForZone = false;
    }

    /** The budget that goes to the next tier with it; null where there are no budgets. */
    public PropagatedBudget propagatedBudget() {
        return propagatedBudget;
    }

    void propagate(PropagatedBudget budget) {
        propagatedBudget = budget;
    }
}
