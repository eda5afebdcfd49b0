package cedarrudder.forwarding;

import cedarrudder.budget.PropagatedBudget;

/**
 * One attempt at a request, sent to one endpoint. The attempts of a request are numbered from 0, in
 * the order in which the balancer starts them.
 *
 * @param <Q> the content that is forwarded
 * @param <A> an endpoint's response
 */
public final class RequestAttempt<Q, A> {

    /** The progress of an attempt; states are only entered in this order, and may be skipped. */
    private enum State {
        /** No byte has been sent: the attempt waits for its connection. */
        WAITING,
        /** The first byte may have been sent, the last has not: the endpoint can't execute it. */
        WRITING,
        /** The last byte has been sent: the endpoint may have executed it. */
        EXECUTING,
        /** The outcome is known. */
        ENDED
    }

    private final Exchange<Q, A> exchange;
    private final int number;
    private final long endpoint;
    private final long startedAt;
    private final int zone;
    private State state = State.WAITING;
    private boolean countedForZone = true;
    private long latencyFrom;
    private long responseAt;
    private StreamedResponse response;
    private PropagatedBudget propagatedBudget;

    RequestAttempt(Exchange<Q, A> exchange, int number, long endpoint, long latencyFrom, int zone) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.startedAt = latencyFrom;
        this.zone = zone;
        this.latencyFrom = latencyFrom;
    }

    /** Returns the exchange that this attempt belongs to. */
    public Exchange<Q, A> exchange() {
        return exchange;
    }

    /** Returns the id of the endpoint that this attempt is sent to. */
    public long endpoint() {
        return endpoint;
    }

    /** Returns the number of this attempt among those of its request, from 0. */
    public int number() {
        return number;
    }

    /** Returns the instant at which the balancer started this attempt. */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Moves to a later state, the only place where the state changes. Returns false, without
     * effect, if the attempt is in that state or past it.
     */
    private boolean advance(State next) {
        if (state.compareTo(next) >= 0) {
            return false;
        }
        state = next;
        return true;
    }

    /** Records that the first byte is about to be sent. */
    void startWriting() {
        advance(State.WRITING);
    }

    /** Returns whether this attempt waits for its connection, so that no byte has been sent. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /**
     * Records that the last byte was written; called by the attempt transport. The endpoint
     * executes the attempt from now on, so the latency of an attempt whose body was streamed counts
     * from here.
     */
    public void writeComplete(long now) {
        if (advance(State.EXECUTING) && exchange.isUpload()) {
            latencyFrom = now;
        }
    }

    /** Returns whether this attempt was written completely and has no outcome yet. */
    boolean isExecuting() {
        return state == State.EXECUTING;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    /** Ends this attempt; returns false if it had ended, so that no attempt has two outcomes. */
    boolean end() {
        return advance(State.ENDED);
    }

    /** Records that the response has begun to stream to the client. */
    void responseStarted(StreamedResponse streamed) {
        responseAt = streamed.begunAt();
        response = streamed;
    }

    /** Returns whether the response is or was streamed; true from its start on. */
    boolean isStreaming() {
        return response != null;
    }

    /**
     * Returns the instant until which this attempt may continue although the deadline of its
     * request has passed; not later than now unless its response streams.
     */
    long mayContinueUntil(long now) {
        return isStreaming() ? response.mayContinueUntil(now, exchange.expiry(now)) : now;
    }

    /** Returns whether the response streams, ends now, and is too late for any answer. */
    boolean endsTooLate(long now) {
        return isStreaming() && response.endsTooLate(now, exchange.deadline(now));
    }

    /**
     * Returns the latency up to now, in nanoseconds; of a streamed response, until the response
     * began.
     */
    long latencyNanos(long now) {
        return (isStreaming() ? responseAt : now) - latencyFrom;
    }

    /** Returns the zone that this attempt is counted for, or {@link RequestAccounting#NO_ZONE}. */
    int zone() {
        return countedForZone ? zone : RequestAccounting.NO_ZONE;
    }

    /** Excludes this attempt from the counts by zone from now on. */
    void excludeFromZone() {
        countedForZone = false;
    }

    /** Returns the budget that is sent to the next tier; null if there are no budgets. */
    public PropagatedBudget propagatedBudget() {
        return propagatedBudget;
    }

    void propagate(PropagatedBudget budget) {
        propagatedBudget = budget;
    }
}
