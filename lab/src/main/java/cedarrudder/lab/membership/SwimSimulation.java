package cedarrudder.lab.membership;

import cedarrudder.membership.Member;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.membership.SwimMember;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * Many instances of membership in virtual time, with a network that loses and delays what they
 * send. One seed gives one history.
 */
public final class SwimSimulation {

    /** Where virtual time begins; its zero means nothing. */
    public static final long START = 1_000_000_000_000L;

    /** The first lives began some time within a day, in milliseconds. */
    private static final long FIRST_INCARNATION = 1_700_000_000_000L;

    private static final long DAY = 24L * 3600 * 1000;

    /** A life that begins after all of the first. */
    public static final long LATER_INCARNATION = FIRST_INCARNATION + 2 * DAY;

    /**
     * What the network does.
     *
     * @param loss the share of messages that are lost, from 0 to 1
     * @param minDelay of those that come, in nanoseconds
     * @param maxDelay the longest; delays are even between the two
     */
    public record Network(double loss, long minDelay, long maxDelay) {}

    /** An instance changed its mind about another. */
    public record Change(long at, int observer, Member before, Member now) {}

    /** What happens at an instant; of those at the same instant the one made first comes first. */
    private record Event(long at, long number, Runnable what) {}

    /** One place in the mesh, and the life that runs there. */
    private final class Place {
        final int number;
        SwimMember swim;
        int generation;
        long ticksAt = Long.MAX_VALUE;
        long deaf;
        long messages;
        long bytes;
        long inSecond;
        long second;
        long maxInSecond;

        Place(int number) {
            this.number = number;
        }

        void start(long incarnation) {
            int own = ++generation;
            swim =
                    new SwimMember(
                            places.size(),
                            number,
                            incarnation,
                            settings,
                            random.split(),
                            new SwimMember.Actions() {
                                @Override
                                public void send(int to, byte[] message) {
                                    Place.this.send(own, to, message);
                                }

                                @Override
                                public void onMemberChanged(Member before, Member now) {
                                    changes.add(new Change(now(), number, before, now));
                                }
                            },
                            now);
            wake();
        }

        private long now() {
            return now;
        }

        private void send(int own, int to, byte[] message) {
            messages++;
            bytes += message.length;
            long current = now / 1_000_000_000L;
            inSecond = current == second ? inSecond + 1 : 1;
            second = current;
            maxInSecond = Math.max(maxInSecond, inSecond);
            if (own != generation || random.nextDouble() < network.loss || cut(number, to)) {
                return;
            }
            long delay =
                    network.minDelay
                            + (long) (random.nextDouble() * (network.maxDelay - network.minDelay));
            at(now + delay, () -> places.get(to).take(number, message));
        }

        private void take(int from, byte[] message) {
            if (swim != null && now >= deaf) {
                swim.onDatagram(now, from, message);
                wake();
            } else if (swim != null) {
                at(deaf, () -> take(from, message));
            }
        }

        /** Its next tick, where it is sooner than the one that waits already. */
        private void wake() {
            long due = Math.max(Math.max(swim.nextTickAt(), deaf), now + 1);
            if (due < ticksAt || ticksAt <= now) {
                ticksAt = due;
                int own = generation;
                if (due != Long.MAX_VALUE) {
                    at(due, () -> tick(own, due));
                }
            }
        }

        private void tick(int own, long planned) {
            if (own == generation && swim != null && ticksAt == planned) {
                ticksAt = Long.MAX_VALUE;
                swim.tick(now);
                wake();
            }
        }
    }

    private final Network network;
    private final MembershipSettings settings;
    private final SplittableRandom random;
    private final List<Place> places = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private final List<Change> changes = new ArrayList<>();
    private IntPredicate half = number -> true;
    private IntPredicate deaf = number -> false;
    private long now = START;
    private long made;

    /**
     * Starts this many instances at once; each life has its start in milliseconds as its number.
     */
    public SwimSimulation(int size, Network network, MembershipSettings settings, long seed) {
        this.network = network;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            places.add(new Place(i));
        }
        places.forEach(place -> place.start(FIRST_INCARNATION + random.nextLong(DAY)));
    }

    private void at(long instant, Runnable what) {
        events.add(new Event(instant, made++, what));
    }

    private boolean cut(int from, int to) {
        return half.test(from) != half.test(to) || deaf.test(to) && !deaf.test(from);
    }

    public long now() {
        return now;
    }

    /** Plays on for this long, in nanoseconds. */
    public void play(long length) {
        long until = now + length;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = until;
    }

    /** This one is gone without a word. */
    public void kill(int number) {
        Place place = places.get(number);
        place.swim = null;
        place.generation++;
    }

    /** It leaves in good order. */
    public void leave(int number) {
        places.get(number).swim.leave();
        kill(number);
    }

    /** It starts again, with this number for its life. */
    public void restart(int number, long incarnation) {
        places.get(number).ticksAt = Long.MAX_VALUE;
        places.get(number).start(incarnation);
    }

    /**
     * For this long it hears and does nothing; what comes meanwhile waits, as in a socket's buffer.
     */
    public void stall(int number, long length) {
        places.get(number).deaf = now + length;
    }

    /** From now on nothing passes between those in this half and the others. */
    public void cut(IntPredicate ofOneHalf) {
        half = ofOneHalf;
    }

    /** From now on these hear nothing of the others, which hear them. */
    public void deafen(IntPredicate those) {
        deaf = those;
    }

    /** What was cut is mended. */
    public void heal() {
        half = number -> true;
        deaf = number -> false;
    }

    /** Gives an instance a message as if from another, whatever the network does. */
    public void inject(int to, int from, byte[] message) {
        places.get(to).take(from, message);
    }

    public boolean runs(int number) {
        return places.get(number).swim != null;
    }

    /** How an instance sees it; null where it doesn't run. */
    public SwimMember view(int number) {
        return places.get(number).swim;
    }

    public int size() {
        return places.size();
    }

    /** What instances changed their minds about, in order. */
    public List<Change> changes() {
        return changes;
    }

    /** All messages that were sent. */
    public long messages() {
        return places.stream().mapToLong(place -> place.messages).sum();
    }

    /** All bytes that were sent, without the headers of lower layers. */
    public long bytes() {
        return places.stream().mapToLong(place -> place.bytes).sum();
    }

    /** The most messages that one instance sent within one second. */
    public long maxInSecond() {
        return places.stream().mapToLong(place -> place.maxInSecond).max().orElse(0);
    }
}
