package cedarrudder.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.logging.Logger;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests at which instant a response that streams is given up. The clock is virtual; the balancer,
 * the transport and the client are fakes.
 */
public class RequestDeadlinesTest {

    private static final long DEADLINE = TimeUnit.SECONDS.toNanos(1);
    private static final long STREAM_START = TimeUnit.MILLISECONDS.toNanos(800);
    private static final long LARGEST_SHORT_BYTES = 64 * 1024;
    private static final long ENDPOINT = 7;

    private final TreeMap<Long, List<Runnable>> timers = new TreeMap<>();
    private final List<RequestAttempt<String, String>> started = new ArrayList<>();
    private final List<String> abandoned = new ArrayList<>();
    private long now;
    private Actions actions;
    private RequestForwarder<String, String> forwarder;

    @BeforeMethod
    public void build() {
        timers.clear();
        started.clear();
        abandoned.clear();
        now = 0;
        forwarder =
                new RequestForwarder<>(
                        balancerActions -> {
                            actions = balancerActions;
                            return ignore(LoadBalancer.class);
                        },
                        2,
                        new VirtualTimers(),
                        new Logger(new PrintStream(OutputStream.nullOutputStream())));
        forwarder.attach(new FakeTransport(), null, null);
        forwarder.accept(
                new Exchange<>(
                        new LoadBalancer.Request(1, 0, 0, DEADLINE, 0, false, false, 0),
                        "q",
                        new Client()));
    }

    /** Returns an object whose methods do nothing and return null, false or 0. */
    private static <T> T ignore(Class<T> type) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) ->
                                method.getReturnType() == int.class ? (Object) 0 : null));
    }

    /** Starts an attempt whose response streams from {@link #STREAM_START} on. */
    private StreamedResponse stream(long declaredLength, long receivedBytes) {
        RequestAttempt<String, String> attempt = startAttempt();
        advanceTo(STREAM_START);
        StreamedResponse response =
                new StreamedResponse(declaredLength, LARGEST_SHORT_BYTES, STREAM_START);
        response.received(receivedBytes, STREAM_START);
        forwarder.responseStarted(attempt, "a", null, response);
        return response;
    }

    private RequestAttempt<String, String> startAttempt() {
        actions.startAttempt(1, ENDPOINT, 0);
        RequestAttempt<String, String> attempt = started.get(started.size() - 1);
        attempt.startWriting();
        attempt.writeComplete(now);
        return attempt;
    }

    private void advanceTo(long instant) {
        while (!timers.isEmpty() && timers.firstKey() <= instant) {
            var due = timers.pollFirstEntry();
            now = Math.max(now, due.getKey());
            due.getValue().forEach(Runnable::run);
        }
        now = instant;
    }

    /** Returns what is abandoned up to an instant, as the attempt's number and the time in ms. */
    private List<String> abandonedBy(long millis) {
        advanceTo(TimeUnit.MILLISECONDS.toNanos(millis));
        return abandoned;
    }

    /** Guards against a short response that never ends and keeps its client without an end. */
    @Test
    public void shortStreamedResponseEndsAtTheDeadline() {
        stream(LARGEST_SHORT_BYTES, 3);
        assertEquals(abandonedBy(10_000), List.of("0 at 1000 ms"));
        build();
        stream(StreamedResponse.UNKNOWN_LENGTH, 3);
        assertEquals(abandonedBy(10_000), List.of("0 at 1450 ms"));
    }

    /** Guards against cutting off a long response that pauses across its deadline. */
    @Test
    public void responseOfUnknownLengthMayPauseAcrossItsDeadline() {
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 3);
        assertEquals(abandonedBy(1_449), List.of());
        response.received(LARGEST_SHORT_BYTES + 1, now);
        assertEquals(abandonedBy(600_000), List.of());
    }

    /** Guards against cutting off a long response that pauses past its deadline after a part. */
    @Test
    public void responseOfUnknownLengthMayPauseForAsLongAsItsBytesAccountFor() {
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 12_000);
        assertEquals(abandonedBy(2_299), List.of());
        response.received(24_000, now);
        advanceTo(now + TimeUnit.MILLISECONDS.toNanos(40));
        response.received(24_010, now); // the rest of a piece does not make it slow
        assertEquals(abandonedBy(3_800), List.of());
        assertEquals(abandonedBy(10_000), List.of("0 at 3801 ms"));
        build();
        stream(StreamedResponse.UNKNOWN_LENGTH, LARGEST_SHORT_BYTES);
        assertEquals(abandonedBy(2_799), List.of());
        assertEquals(abandonedBy(10_000), List.of("0 at 2800 ms"));
    }

    /** Guards against a short response that looks like an answer although it ends too late. */
    @Test
    public void shortResponseThatEndsTooLateIsNotCompleted() {
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 30_000);
        assertEquals(abandonedBy(1_450), List.of());
        assertTrue(forwarder.mayComplete(started.get(0)));
        advanceTo(now + 1);
        response.received(LARGEST_SHORT_BYTES, now);
        assertFalse(forwarder.mayComplete(started.get(0)));
        assertEquals(abandoned, List.of("0 at 1450 ms"));
        build();
        response = stream(StreamedResponse.UNKNOWN_LENGTH, 30_000);
        advanceTo(2 * DEADLINE);
        response.received(LARGEST_SHORT_BYTES + 1, now);
        assertTrue(forwarder.mayComplete(started.get(0)));
    }

    /** Guards against taking a response in time for a late one, since the process ends. */
    @Test
    public void endOfTheProcessEndsShortResponsesAndMakesNoneLate() {
        stream(LARGEST_SHORT_BYTES, 3);
        forwarder.expireNow(started.get(0).exchange());
        assertEquals(abandoned, List.of("0 at 800 ms"));
        build();
        stream(LARGEST_SHORT_BYTES + 1, 3);
        forwarder.expireNow(started.get(0).exchange());
        assertEquals(abandonedBy(600_000), List.of());
        build();
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 3_000);
        forwarder.expireNow(started.get(0).exchange());
        advanceTo(STREAM_START + TimeUnit.MILLISECONDS.toNanos(449));
        response.received(5_000, now);
        advanceTo(STREAM_START + TimeUnit.MILLISECONDS.toNanos(600));
        assertTrue(forwarder.mayComplete(started.get(0)));
    }

    /** Guards against cutting off what the endpoint of a large response still sends. */
    @Test
    public void longResponseHasNoDeadlineOnceItStreams() {
        stream(LARGEST_SHORT_BYTES + 1, 3);
        assertEquals(abandonedBy(600_000), List.of());
        build();
        stream(StreamedResponse.UNKNOWN_LENGTH, LARGEST_SHORT_BYTES + 1);
        assertEquals(abandonedBy(600_000), List.of());
    }

    /** Guards against cutting off a large response without a length that arrives slowly. */
    @Test
    public void responseOfUnknownLengthContinuesWhileItsBytesKeepComing() {
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 1_000);
        long received = 1_000;
        for (long millis = 900; received <= LARGEST_SHORT_BYTES; millis += 100) {
            assertEquals(abandonedBy(millis), List.of());
            received += 1_000;
            response.received(received, now);
        }
        assertEquals(abandonedBy(600_000), List.of());
    }

    /** Guards against a response that comes at once but for its end, which never comes. */
    @Test
    public void responseOfUnknownLengthEndsOnceItsBytesComeTooSlowly() {
        StreamedResponse response =
                stream(StreamedResponse.UNKNOWN_LENGTH, LARGEST_SHORT_BYTES - 1_000);
        for (long millis = 850; millis < 1_250; millis += 50) {
            assertEquals(abandonedBy(millis), List.of());
            response.received(LARGEST_SHORT_BYTES - 1_000 + (millis - 800) / 50, now);
        }
        assertEquals(abandonedBy(10_000), List.of("0 at 1450 ms"));
    }

    /** Guards against blaming an endpoint for what its client does not read. */
    @Test
    public void timeDuringWhichAResponseIsNotReadDoesNotCount() {
        StreamedResponse response = stream(StreamedResponse.UNKNOWN_LENGTH, 3_600);
        response.readable(false, now);
        assertEquals(abandonedBy(5_800), List.of());
        response.readable(true, now);
        assertEquals(abandonedBy(6_249), List.of());
        assertEquals(abandonedBy(10_000), List.of("0 at 6250 ms"));
        build();
        response = stream(StreamedResponse.UNKNOWN_LENGTH, 3);
        advanceTo(STREAM_START + TimeUnit.MILLISECONDS.toNanos(1));
        response.readable(false, now);
        assertEquals(abandonedBy(10_000), List.of("0 at 1000 ms"));
    }

    /** Guards against an attempt that is never given up because another one's response streams. */
    @Test
    public void attemptBesideAStreamedResponseEndsAtTheDeadline() {
        startAttempt();
        stream(LARGEST_SHORT_BYTES + 1, 3);
        assertEquals(abandonedBy(10_000), List.of("0 at 1000 ms"));
        build();
        startAttempt();
        stream(StreamedResponse.UNKNOWN_LENGTH, 3);
        assertEquals(abandonedBy(10_000), List.of("0 at 1000 ms", "1 at 1450 ms"));
    }

    /** Guards against an attempt that is never given up because its client left a response. */
    @Test
    public void attemptBesideAResponseWhoseClientLeftEndsAtTheDeadline() {
        startAttempt();
        stream(LARGEST_SHORT_BYTES + 1, 3);
        forwarder.clientLeft(started.get(0).exchange());
        assertEquals(abandonedBy(10_000), List.of("1 at 800 ms", "0 at 1000 ms"));
    }

    /** Guards against a timer that remains after the end of its response. */
    @Test
    public void endOfAStreamedResponseCancelsItsDeadlineTimer() {
        stream(StreamedResponse.UNKNOWN_LENGTH, 16_000);
        advanceTo(DEADLINE);
        assertEquals(timers.size(), 1);
        forwarder.served(started.get(0), "", null);
        assertEquals(timers.size(), 0);
    }

    private final class VirtualTimers implements TimerService {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer at(long instant, Runnable task) {
            timers.computeIfAbsent(instant, due -> new ArrayList<>()).add(task);
            return () -> {
                timers.values().forEach(due -> due.remove(task));
                timers.values().removeIf(List::isEmpty);
            };
        }
    }

    private final class FakeTransport implements AttemptTransport<String, String> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return true;
        }

        @Override
        public void startAttempt(RequestAttempt<String, String> attempt) {
            started.add(attempt);
        }

        @Override
        public void abandonAttempt(RequestAttempt<String, String> attempt) {
            abandoned.add(attempt.number() + " at " + TimeUnit.NANOSECONDS.toMillis(now) + " ms");
        }

        @Override
        public void sendProbe(long endpoint) {}

        @Override
        public void closeIdleConnections(long endpoint) {}
    }

    private static final class Client implements Exchange.Reply<String> {
        @Override
        public void served(String answer) {}

        @Override
        public void rejected(long retryAfter) {}

        @Override
        public void failed() {}

        @Override
        public boolean isClientWaiting() {
            return true;
        }
    }
}
