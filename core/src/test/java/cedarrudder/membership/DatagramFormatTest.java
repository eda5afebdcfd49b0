package cedarrudder.membership;

import cedarrudder.conventions.Golden;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Compares the datagrams of membership with those of an earlier build: both may run in one tier.
 */
public class DatagramFormatTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final int INSTANCES = 7;
    private static final int SAMPLES = 60;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final SplittableRandom random = new SplittableRandom(11);
    private final SwimMember[] swims = new SwimMember[INSTANCES];
    private final StringBuilder samples = new StringBuilder();
    private final Golden.Digest digest = new Golden.Digest();
    private long now = 1_000 * SECOND;
    private long scheduledEvents;
    private int sent;

    private void at(long instant, Runnable action) {
        events.add(new Event(instant, scheduledEvents++, action));
    }

    private void start(int number, long incarnation) {
        swims[number] =
                new SwimMember(
                        INSTANCES,
                        number,
                        incarnation,
                        MembershipSettings.DEFAULT,
                        random.split(),
                        new SwimMember.Actions() {
                            @Override
                            public void send(int to, byte[] message) {
                                onSent(number, to, message);
                            }

                            @Override
                            public void onMemberChanged(Member before, Member after) {
                                digest.add(
                                        number
                                                + ":"
                                                + after.number()
                                                + ":"
                                                + after.incarnation()
                                                + ":"
                                                + after.state().ordinal());
                            }
                        },
                        now);
        tick(number, swims[number]);
    }

    private void onSent(int from, int to, byte[] message) {
        digest.add(from + ">" + to).add(message);
        if (sent++ % 40 == 0 && sent < 40 * SAMPLES) {
            samples.append(Golden.hex(message));
        }
        if (random.nextInt(5) > 0) {
            at(
                    now + random.nextLong(2 * MILLI, 300 * MILLI),
                    () -> {
                        if (swims[to] != null) {
                            swims[to].onDatagram(now, from, message);
                            tick(to, swims[to]);
                        }
                    });
        }
    }

    private void tick(int number, SwimMember swim) {
        long due = Math.max(now + 1, swim.nextTickAt());
        at(
                due,
                () -> {
                    if (swims[number] == swim && swim.nextTickAt() <= now) {
                        swim.tick(now);
                        tick(number, swim);
                    }
                });
    }

    private void runFor(long length) {
        long until = now + length;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        now = until;
    }

    @Test
    public void datagramsEqualThoseOfEarlierBuild() {
        for (int i = 0; i < INSTANCES; i++) {
            start(i, 1_700_000_000_000L + i);
        }
        runFor(20 * SECOND);
        swims[2] = null;
        runFor(20 * SECOND);
        start(2, 1_700_000_900_000L);
        runFor(10 * SECOND);
        swims[5].leave();
        swims[5] = null;
        runFor(20 * SECOND);
        Golden.check("membership-datagrams.txt", samples + digest.toString() + "\n");
    }
}
