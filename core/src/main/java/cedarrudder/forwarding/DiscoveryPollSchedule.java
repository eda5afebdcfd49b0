package cedarrudder.forwarding;

import cedarrudder.balancer.BalancerSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * When discovery is called, and when a call counts as lost: for the watch, or for one call for the
 * whole list. Pure: events with their time in nanoseconds come in, actions go out; a call is a
 * number.
 *
 * <p><b>Silence.</b> A complete object or an empty line is a sign of life, and so is the first byte
 * of an object, once; a watch that goes on with pieces of an object that never ends does not count
 * as alive for good. So a watch is lost at the latest {@code watchSilenceNanos + jitterNanos} after
 * its last byte, and is opened anew at once.
 *
 * <p><b>Hedging.</b> While no call has an answer one more is made each {@code hedgeNanos}, on
 * another connection, and those before are waited for all the same, so that none loses its place in
 * the queue of a busy discovery. At most {@code callNanos / hedgeNanos} and one are in flight at a
 * time; of a whole list two. For the next of them a spare connection is dialled while the one
 * before has no answer, since two connections in a row may come up late.
 *
 * <p><b>Backoff.</b> Once all calls have failed the next one is made after a backoff with jitter:
 * at most {@code jitterNanos} where a watch ended, a quarter of it where the first call failed or
 * the last fell silent, then {@link #maxBackoffNanos}. The cap is low, since a list may not be late
 * once discovery is back, however long it was away. {@link Actions#onUnavailable} tells the
 * balancer once of all that fails until the watch is answered again; the balancer's own backoff
 * neither lengthens nor shortens these.
 */
public final class DiscoveryPollSchedule {

    /**
     * The backoff's cap. A change has to be known 6 s after discovery is back: the cap, a
     * connection that comes up a second late and a refusal, and all of these once more, take 5.1 s.
     */
    private static final long MAX_BACKOFF_NANOS = 1_500_000_000L;

    /**
     * The cap as a share of the poll interval; the rest is for a call that waits and a connection
     * that comes up late.
     */
    private static final double MAX_BACKOFF_INTERVAL_SHARE = 0.6;

    /** The cap where lists are pushed: an agent serves this machine alone. */
    private static final long MAX_BACKOFF_PUSHED_NANOS = 750_000_000L;

    /**
     * The part of the backoff that is random. With the rest no replica calls twice in a second, and
     * with the random part replicas that failed together drift apart.
     */
    private static final double JITTER_SHARE = 1.0 / 3;

    /** The part of the jitter that a failed call waits: calls are spread already. */
    private static final int FAILED_CALL_JITTER_DIVISOR = 4;

    /** The connection attempt delay that RFC 8305, section 5, recommends. */
    private static final long SPARE_DIAL_DELAY_NANOS = 250_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    /** Why a call is dropped. */
    public enum DropReason {
        /** It brought nothing for too long. */
        SILENT,
        /** Another call takes its place, or the list is no longer wanted. */
        SUPERSEDED
    }

    /** What comes of the events. */
    public interface Actions {

        /** Makes a call, on a connection of its own; the spare one if there is one. */
        void open(int call);

        /** Dials a spare connection, or closes the one there is. */
        void dialSpare(boolean wanted);

        /** Drops a call. */
        void drop(int call, DropReason reason);

        /**
         * Wants {@link DiscoveryPollSchedule#onTimer} at an instant; an earlier wish no longer
         * counts.
         */
        void scheduleTimer(long at);

        /** No call is left to wait for. */
        void onUnavailable();
    }

    /** One call, from its dial to its end. */
    private static final class Call {
        private final int number;
        private final long openedAt;
        private final long jitter;
        private boolean connected;
        private boolean answered;
        private long lastReceivedAt;

        private Call(int number, long now, long jitter) {
            this.number = number;
            this.openedAt = now;
            this.jitter = jitter;
        }

        private void onReceived(long now) {
            lastReceivedAt = now;
            answered = true;
        }

        private long lostAt(DiscoveryTimeouts timeouts) {
            return answered
                    ? lastReceivedAt + timeouts.watchSilenceNanos() + jitter
                    : openedAt + timeouts.callNanos();
        }
    }

    private final boolean watching;
    private final long maxBackoffNanos;
    private final RandomGenerator random;
    private final Actions actions;
    private DiscoveryTimeouts timeouts;

    /** Calls that have brought no list yet, the oldest first. */
    private final List<Call> pending = new ArrayList<>(2);

    /** The watch that brings updates; while the address changes, the one at the former address. */
    private Call established;

    private boolean wanted;
    private boolean addressChanging;
    private boolean unavailableReported;
    private int failures;

    /** Whether discovery itself ended the last call that failed: it is there, maybe busy. */
    private boolean reachable;

    private long nextCallAt = NEVER;
    private long spareDialAt = NEVER;
    private long timerAt = NEVER;
    private int lastNumber;

    /**
     * A schedule that has made no call yet.
     *
     * @param watching whether it is the watch that is called for, else one whole list
     * @param maxBackoffNanos at most this long after a failure the next call is made; 0 where
     *     others see to it
     */
    public DiscoveryPollSchedule(
            boolean watching,
            long maxBackoffNanos,
            DiscoveryTimeouts timeouts,
            RandomGenerator random,
            Actions actions) {
        this.watching = watching;
        this.maxBackoffNanos = maxBackoffNanos;
        this.timeouts = timeouts;
        this.random = random;
        this.actions = actions;
    }

    /** The backoff's cap at a site, in nanoseconds. */
    public static long maxBackoffNanos(BalancerSettings settings) {
        if (!settings.pollsEndpoints()) {
            return MAX_BACKOFF_PUSHED_NANOS;
        }
        double share = MAX_BACKOFF_INTERVAL_SHARE * settings.safety().pollIntervalNanos();
        return Math.min(MAX_BACKOFF_NANOS, (long) share);
    }

    /**
     * These timeouts count from now on; a backoff that has begun lasts for as long as it was to.
     */
    public void apply(DiscoveryTimeouts next) {
        timeouts = next;
    }

    /** Whether the watch is established, or called for. */
    public boolean isActive() {
        return established != null || !pending.isEmpty();
    }

    // ---- what is wanted

    /** The list is wanted. Without effect while it is called for, watched, or soon called for. */
    public void poll(long now) {
        wanted = true;
        boolean watched = established != null && !addressChanging;
        if (pending.isEmpty() && !watched && nextCallAt == NEVER) {
            unavailableReported = false;
            open(now);
        }
    }

    /**
     * Discovery has another address: it is called there at once, also where the next call at the
     * old one was to wait. An established watch goes on until the new one is.
     */
    public void onAddressChanged(long now) {
        if (wanted) {
            dropPending();
            addressChanging = established != null;
            failures = 0;
            reachable = false; // of the new address nothing is known
            open(now);
        }
    }

    /** The list is no longer wanted. */
    public void stop() {
        wanted = false;
        addressChanging = false;
        cancelNextCall();
        dropPending();
        dropEstablished(DropReason.SUPERSEDED);
    }

    private void cancelNextCall() {
        nextCallAt = NEVER;
        spareDialAt = NEVER;
        actions.dialSpare(false);
    }

    // ---- what calls bring

    /** The connection of a call is up: it may have a place in discovery's queue from now on. */
    public void onConnected(int number) {
        Call call = pending(number);
        if (call != null) {
            call.connected = true;
        }
    }

    /** The first byte of an object came. */
    public void onObjectStarted(long now, int number) {
        if (isEstablished(number)) {
            established.onReceived(now);
        }
    }

    /**
     * An empty line came: nothing has changed. It says nothing for an address that has brought no
     * list.
     */
    public void onHeartbeat(long now, int number) {
        if (!addressChanging || isEstablished(number)) {
            onUpdate(now, number);
            return;
        }
        Call call = pending(number);
        if (call != null) {
            call.onReceived(now);
        }
    }

    /** A list or a change came that could be read. Other calls are no longer needed. */
    public void onUpdate(long now, int number) {
        if (isEstablished(number)) {
            established.onReceived(now);
            updateTimer();
            return;
        }
        Call call = pending(number);
        if (call == null) {
            return;
        }
        pending.remove(call);
        dropPending();
        dropEstablished(DropReason.SUPERSEDED);
        addressChanging = false;
        unavailableReported = false;
        cancelNextCall();
        wanted = watching;
        if (watching) {
            established = call;
            call.onReceived(now);
            updateTimer();
        }
    }

    /** A call ended, or can't be made or read. */
    public void onCallFailed(long now, int number) {
        if (isEstablished(number)) {
            onWatchEnded(now);
            return;
        }
        Call call = pending(number);
        if (call == null) {
            return;
        }
        reachable |= call.connected;
        pending.remove(call);
        if (pending.isEmpty()) {
            backOff(now, timeouts.jitterNanos() / FAILED_CALL_JITTER_DIVISOR);
        }
    }

    /** A watch at a former address was to end; the one that takes its place reports for both. */
    private void onWatchEnded(long now) {
        boolean lastedLong = now - established.openedAt >= maxBackoffNanos;
        if (lastedLong) {
            failures = 0; // one that ends as soon as it has answered is no success
        }
        established = null;
        if (!addressChanging) {
            reachable = true;
            backOff(now, timeouts.jitterNanos());
        }
        addressChanging = false;
    }

    // ---- time

    /** The instant that was wished for has come, or is past. */
    public void onTimer(long now) {
        timerAt = NEVER;
        dropSilentWatch(now);
        dropSilentCalls(now);
        if (now >= effectiveNextCallAt()) {
            open(now);
        } else if (now >= spareDialAt) {
            spareDialAt = NEVER;
            actions.dialSpare(!isQueuedAtDiscovery());
        }
        updateTimer();
    }

    private void dropSilentWatch(long now) {
        if (established == null || now < established.lostAt(timeouts)) {
            return;
        }
        reachable = false;
        dropEstablished(DropReason.SILENT);
        if (!addressChanging) {
            failures = 0;
            nextCallAt = now;
        }
        addressChanging = false;
    }

    private void dropSilentCalls(long now) {
        boolean waited = !pending.isEmpty();
        for (Call call : List.copyOf(pending)) {
            if (now >= call.lostAt(timeouts)) {
                reachable = false;
                pending.remove(call);
                actions.drop(call.number, DropReason.SILENT);
            }
        }
        if (waited && pending.isEmpty()) {
            failures = 0; // a whole timeout has gone by, so no long backoff on top of it
            backOff(now, timeouts.jitterNanos() / FAILED_CALL_JITTER_DIVISOR);
        }
    }

    /**
     * Makes a call. Of those that wait for a connection only the newest is kept: what the network
     * lost of the others is sent again once it is back, and all would come at the same time.
     */
    private void open(long now) {
        for (Call call : List.copyOf(pending)) {
            if (!call.connected) {
                pending.remove(call);
                actions.drop(call.number, DropReason.SUPERSEDED);
            }
        }
        lastNumber++;
        long jitter = (long) (random.nextDouble() * timeouts.jitterNanos());
        Call call = new Call(lastNumber, now, jitter);
        pending.add(call);
        boolean repeats = maxBackoffNanos > 0;
        nextCallAt = repeats || pending.size() == 1 ? now + timeouts.hedgeNanos() : NEVER;
        spareDialAt = repeats ? now + SPARE_DIAL_DELAY_NANOS : NEVER;
        updateTimer();
        actions.open(call.number);
    }

    /**
     * All calls have failed.
     *
     * @param maxFirst the longest backoff where nothing failed before, in nanoseconds
     */
    private void backOff(long now, long maxFirst) {
        boolean repeats = maxBackoffNanos > 0;
        nextCallAt = repeats ? now + nextBackoff(Math.min(maxFirst, maxBackoffNanos)) : NEVER;
        spareDialAt = NEVER;
        updateTimer();
        if (!unavailableReported) {
            unavailableReported = repeats;
            actions.onUnavailable();
        }
    }

    private long nextBackoff(long maxFirst) {
        failures++;
        if (failures == 1) {
            return (long) (random.nextDouble() * maxFirst);
        }
        return maxBackoffNanos - (long) (random.nextDouble() * JITTER_SHARE * maxBackoffNanos);
    }

    /** No call is made beside one that is answered, or has its place in discovery's queue. */
    private long effectiveNextCallAt() {
        boolean answered = pending.stream().anyMatch(call -> call.answered);
        return isQueuedAtDiscovery() || answered ? NEVER : nextCallAt;
    }

    /**
     * Whether a call has a place in the queue of a discovery that is there. Hedged calls at one
     * that serves a few in a second would make all replicas wait twice as long.
     */
    private boolean isQueuedAtDiscovery() {
        return reachable && pending.stream().anyMatch(call -> call.connected);
    }

    private void updateTimer() {
        long next = Math.min(effectiveNextCallAt(), spareDialAt);
        if (established != null) {
            next = Math.min(next, established.lostAt(timeouts));
        }
        for (Call call : pending) {
            next = Math.min(next, call.lostAt(timeouts));
        }
        if (next < timerAt) {
            timerAt = next;
            actions.scheduleTimer(next);
        }
    }

    // ---- the calls

    private boolean isEstablished(int number) {
        return established != null && established.number == number;
    }

    private Call pending(int number) {
        return pending.stream().filter(call -> call.number == number).findFirst().orElse(null);
    }

    private void dropPending() {
        pending.forEach(call -> actions.drop(call.number, DropReason.SUPERSEDED));
        pending.clear();
    }

    private void dropEstablished(DropReason reason) {
        if (established != null) {
            actions.drop(established.number, reason);
            established = null;
        }
    }
}
