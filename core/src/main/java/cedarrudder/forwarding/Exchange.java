package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.budget.RequestBudget;
import java.util.ArrayList;
import java.util.List;

/**
 * One request between its client and the endpoints: the only object that the server side and the
 * client side share.
 *
 * <p>The server side creates it and is notified of its result through {@link Reply}; the attempt
 * transport reads its content to carry out the attempts. The protocol defines the types of content
 * and response.
 *
 * @param <Q> the content that is forwarded to an endpoint
 * @param <A> an endpoint's response
 */
public final class Exchange<Q, A> {

    /**
     * Passes the result of an exchange to the server side. Exactly one of {@link #served}, {@link
     * #rejected} and {@link #failed} is called, once, unless the client disconnects.
     *
     * @param <A> an endpoint's response
     */
    public interface Reply<A> {
        /** Passes on an endpoint's response. */
        void served(A answer);

        /**
         * Answers with an unavailable status, after which a retry is safe.
         *
         * @param retryAfter advice when to retry, in nanoseconds; 0: none
         */
        void rejected(long retryAfter);

        /** Answers that the request failed, without a promise that a retry is safe. */
        void failed();

        /**
         * Returns whether the client is still connected, checked now and not by what was last
         * received. Called on the event loop right before the first byte of an attempt is sent.
         * False counts as {@link RequestForwarder#clientLeft}; within this method that may also be
         * called for this exchange, but no other method of the forwarder.
         */
        boolean isClientWaiting();

        /**
         * Returns whether a disconnect of the client would be detected. It would not be while the
         * client's input is not read for lack of buffers; {@link #isClientWaiting} then proves
         * nothing, and no attempt may start.
         */
        default boolean canDetectDisconnect() {
            return true;
        }

        /** Returns for how long the client has not been known to be connected, in nanoseconds. */
        default long nanosWithoutSignOfClient() {
            return 0;
        }
    }

    /** The state of an exchange; {@link #isOver} is true except in {@code OPEN}. */
    private enum State {
        /** The client has received no answer yet. */
        OPEN,
        /** A response streams to the client; see {@link StreamedResponse} for its deadline. */
        STREAMING,
        /** The client has its answer, or has left. */
        ENDED
    }

    private final LoadBalancer.Request request;
    private final Q content;
    private final Reply<A> reply;
    private final PropagatedBudget receivedBudget;
    private final List<RequestAttempt<Q, A>> attempts = new ArrayList<>(1);
    private State state = State.OPEN;
    private RequestAttempt<Q, A> streamingAttempt;
    private TimerService.Timer deadlineTimer;
    private int attemptsInFlight;
    private long deadline;
    private long latestExpiry = Long.MAX_VALUE;
    private UploadProgress upload;
    private boolean uploading;
    private long timeoutAfterUpload;
    private boolean contentDiscarded;
    private boolean mayHaveRun;
    private boolean abandoned;
    private RepeatGuard.Permission startPermission;
    private RequestBudget budget;
    private DownstreamFeedback feedback;

    /**
     * Creates an exchange for a client that sent no budget.
     *
     * @param request has a new id; its deadline is an instant of the forwarder's clock
     */
    public Exchange(LoadBalancer.Request request, Q content, Reply<A> reply) {
        this(request, content, reply, PropagatedBudget.NOTHING);
    }

    /**
     * Creates an exchange with the budget that was received with the request, which is used if the
     * forwarder has budgets.
     */
    public Exchange(
            LoadBalancer.Request request,
            Q content,
            Reply<A> reply,
            PropagatedBudget receivedBudget) {
        this.request = request;
        this.deadline = request.deadline();
        this.content = content;
        this.reply = reply;
        this.receivedBudget = receivedBudget;
    }

    /** Returns the request as it is passed to the balancer. */
    public LoadBalancer.Request request() {
        return request;
    }

    /** Returns the content that is forwarded. */
    public Q content() {
        return content;
    }

    Reply<A> reply() {
        return reply;
    }

    // ---- budgets

    PropagatedBudget receivedBudget() {
        return receivedBudget;
    }

    /**
     * Returns the budget of this request; null before the balancer has received the request, and if
     * there are no budgets.
     */
    public RequestBudget budget() {
        return budget;
    }

    void budget(RequestBudget granted) {
        budget = granted;
    }

    /**
     * Returns the feedback that is sent to the tier above with the reply; null before the reply,
     * and if there is none.
     */
    public DownstreamFeedback feedback() {
        return feedback;
    }

    void feedback(DownstreamFeedback forClient) {
        feedback = forClient;
    }

    // ---- deadline and upload

    /**
     * Marks the content as still being received. The deadline then counts from the instant at which
     * the client may have written the last byte of the content; the request's own deadline applies
     * in any case.
     *
     * @param timeout how long the client waits from the last byte on, in nanoseconds
     * @param progress what is received of the content, which the server side keeps current
     */
    public Exchange<Q, A> withUpload(long timeout, UploadProgress progress) {
        upload = progress;
        uploading = true;
        timeoutAfterUpload = timeout;
        return this;
    }

    /** Returns whether the content was still being received when the exchange was accepted. */
    boolean isUpload() {
        return upload != null;
    }

    /** Returns whether the content is still being received. */
    boolean isUploading() {
        return uploading;
    }

    /** Fixes the deadline of an exchange whose content was received completely. */
    void completeUpload(long lastByteAt, long now) {
        deadline = Math.min(upload.mayBeCompleteSince(now), lastByteAt) + timeoutAfterUpload;
        uploading = false;
    }

    /**
     * Returns how long the client still waits, in nanoseconds: the maximum timeout of an attempt.
     */
    public long remainingNanos(long now) {
        return expiry(now) - now;
    }

    /**
     * Returns the instant at which the exchange expires, as far as that is known now. While the
     * content is being received, it may become later.
     */
    public long expiry(long now) {
        return Math.min(latestExpiry, deadline(now));
    }

    /**
     * Returns the instant until which the client waits, as far as that is known now. The exchange
     * may expire earlier, since this process ends.
     */
    long deadline(long now) {
        return uploading
                ? Math.min(deadline, upload.mayBeCompleteSince(now) + timeoutAfterUpload)
                : deadline;
    }

    /** Makes the exchange expire at this instant, unless it expires earlier. */
    void expireBy(long instant) {
        latestExpiry = Math.min(latestExpiry, instant);
        uploading = false;
    }

    boolean isExpired(long now) {
        return now >= expiry(now);
    }

    void deadlineTimer(TimerService.Timer timer) {
        deadlineTimer = timer;
    }

    /** Cancels the deadline timer, which would keep the exchange and its body in memory. */
    void cancelDeadline() {
        deadlineTimer.cancel();
    }

    /**
     * Records that content was sent which is no longer buffered: no further attempt can be made.
     */
    public void discardContent() {
        contentDiscarded = true;
    }

    /** Returns whether no further attempt can be made, since its content is no longer buffered. */
    public boolean contentDiscarded() {
        return contentDiscarded;
    }

    // ---- state

    /** Returns whether the client has its answer, or the start of one, or has left. */
    boolean isOver() {
        return state != State.OPEN;
    }

    void end() {
        state = State.ENDED;
    }

    /** Returns the attempt whose response streams to the client; null if none does. */
    RequestAttempt<Q, A> streamingAttempt() {
        return streamingAttempt;
    }

    void startStreaming(RequestAttempt<Q, A> attempt) {
        state = State.STREAMING;
        streamingAttempt = attempt;
    }

    /**
     * Ends streaming, since the response has ended or its client has left. Returns whether a
     * response was streaming: true only once.
     */
    boolean endStreaming() {
        boolean streamed = state == State.STREAMING;
        if (streamed) {
            state = State.ENDED;
            streamingAttempt = null;
        }
        return streamed;
    }

    // ---- attempts

    List<RequestAttempt<Q, A>> attempts() {
        return attempts;
    }

    RequestAttempt<Q, A> newAttempt(long endpoint, long now, int zone) {
        RequestAttempt<Q, A> attempt =
                new RequestAttempt<>(this, attempts.size(), endpoint, now, zone);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    void attemptEnded(LoadBalancer.Outcome outcome) {
        attemptsInFlight--;
        mayHaveRun |= !outcome.provesNotRun();
    }

    /** Returns whether an attempt that has ended may have been executed. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether an attempt may have been executed, or still may be. */
    boolean mayStillRun() {
        return mayHaveRun || attempts.stream().anyMatch(RequestAttempt::isExecuting);
    }

    /** Records that the client has left before the end of its answer. */
    void abandon() {
        abandoned = true;
    }

    /** Returns whether the request may start, given its id; null before its first attempt. */
    RepeatGuard.Permission startPermission() {
        return startPermission;
    }

    void startPermission(RepeatGuard.Permission granted) {
        startPermission = granted;
    }

    /** Returns whether the id of the request, which is over, need not be remembered any longer. */
    boolean forgetsId() {
        return holdsId() && !mayHaveRun;
    }

    /** Returns whether the id of the request, which is over, was answered to a connected client. */
    boolean answeredId() {
        return holdsId() && mayHaveRun && !abandoned;
    }

    private boolean holdsId() {
        return startPermission == RepeatGuard.Permission.FIRST;
    }

    /** Returns whether the exchange is over and no attempt is in flight, so it can be removed. */
    boolean isDone() {
        return isOver() && attemptsInFlight == 0;
    }
}
