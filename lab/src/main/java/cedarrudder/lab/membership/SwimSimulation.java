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
 * Simulates many instances of SWIM membership in virtual time, with a network that loses and delays
 * messages. One seed always gives the same history.
 */
public final class SwimSimulation {

    /** The instant at which virtual time begins; the zero of virtual time has no meaning. */
    public static final long START = 1_000_000_000_000L;

    /**
     * The earliest of the first incarnations, in milliseconds; the others begin within a day of it.
     */
    private static final long FIRST_INCARNATION = 1_700_000_000_000L;

    private static final long DAY = 24L * 3600 * 1000;

    /** An incarnation that is newer than all of the first ones. */
    public static final long LATER_INCARNATION = FIRST_INCARNATION + 2 * DAY;

    /**
     * The faults and delays of the network.
     *
     * @param loss the fraction of messages that are lost, from 0 to 1
     * @param minDelay the minimum delay of a delivered message, in nanoseconds
     * @param maxDelay the maximum delay; delays are uniformly distributed between the two
     */
    public record Network(double loss, long minDelay, long maxDelay) {}

    /** A change of the state that an instance assigns to another. */
    public record Change(long at, int observer, Member before, Member now) {}

    /** A scheduled action; of those at one instant, the one scheduled first runs first. */
    private record Event(long at, long number, Runnable action) {}

    /** A host of the mesh and the membership instance that runs on it. */
    private final class Host {
        final int number;
        SwimMember swim;
        int generation;
        long ticksAt = Long.MAX_VALUE;
        long pausedUntil;
        long messages;
        long bytes;
        long sentInSecond;
        long second;
        long maxInSecond;

        Host(int number) {
            this.number = number;
        }

        void start(long incarnation) {
            int ownGeneration = ++generation;
            swim =
                    new SwimMember(
                            hosts.size(),
                            number,
                            incarnation,
                            settings,
                            random.split(),
                            new SwimMember.Actions() {
                                @Override
                                public void send(int to, byte[] message) {
                                    Host.this.send(ownGeneration, to, message);
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

        private void send(int ownGeneration, int to, byte[] message) {
            messages++;
            bytes += message.length;
            long current = now / 1_000_000_000L;
            sentInSecond = current == second ? sentInSecond + 1 : 1;
            second = current;
            maxInSecond = Math.max(maxInSecond, sentInSecond);
            if (ownGeneration != generation
                    || random.nextDouble() < network.loss
                    || cut(number, to)) {
                return;
            }
            long delay =
                    network.minDelay
                            + (long) (random.nextDouble() * (network.maxDelay - network.minDelay));
            at(now + delay, () -> hosts.get(to).receive(number, message));
        }

        private void receive(int from, byte[] message) {
            if (swim != null && now >= pausedUntil) {
                swim.onDatagram(now, from, message);
                wake();
            } else if (swim != null) {
                at(pausedUntil, () -> receive(from, message));
            }
        }

        /** Schedules the next tick if it is due before the one that is already scheduled. */
        private void wake() {
            long due = Math.max(Math.max(swim.nextTickAt(), pausedUntil), now + 1);
            if (due < ticksAt || ticksAt <= now) {
                ticksAt = due;
                int ownGeneration = generation;
                if (due != Long.MAX_VALUE) {
                    at(due, () -> tick(ownGeneration, due));
                }
            }
        }

        private void tick(int ownGeneration, long planned) {
            if (ownGeneration == generation && swim != null && ticksAt == planned) {
                ticksAt = Long.MAX_VALUE;
                swim.tick(now);
                wake();
            }
        }
    }

    private final Network network;
    private final MembershipSettings settings;
    private final SplittableRandom random;
    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.number, b.number));
    private final List<Change> changes = new ArrayList<>();
    private IntPredicate isInFirstHalf = number -> true;
    private IntPredicate isDeaf = number -> false;
    private long now = START;
    private long scheduledCount;

    /**
     * Starts this many instances at once; the incarnation of each is its start time in
     * milliseconds.
     */
    public SwimSimulation(int size, Network network, MembershipSettings settings, long seed) {
        this.network = network;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            hosts.add(new Host(i));
        }
        hosts.forEach(host -> host.start(FIRST_INCARNATION + random.nextLong(DAY)));
    }

    private void at(long instant, Runnable action) {
        events.add(new Event(instant, scheduledCount++, action));
    }

    private boolean cut(int from, int to) {
        return isInFirstHalf.test(from) != isInFirstHalf.test(to)
                || isDeaf.test(to) && !isDeaf.test(from);
    }

    public long now() {
        return now;
    }

    /** Runs the simulation for this many nanoseconds. */
    public void play(long length) {
        long until = now + length;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
        now = until;
    }

    /** Kills an instance without notice to the others. */
    public void kill(int number) {
        Host host = hosts.get(number);
        host.swim = null;
        host.generation++;
    }

    /** Makes an instance announce that it leaves, and then ends it. */
    public void leave(int number) {
        hosts.get(number).swim.leave();
        kill(number);
    }

    /** Restarts an instance under this incarnation. */
    public void restart(int number, long incarnation) {
        hosts.get(number).ticksAt = Long.MAX_VALUE;
        hosts.get(number).start(incarnation);
    }

    /**
     * Pauses an instance for this many nanoseconds; messages that arrive meanwhile are buffered, as
     * in a socket buffer.
     */
    public void stall(int number, long length) {
        hosts.get(number).pausedUntil = now + length;
    }

    /** Cuts all links between the instances of one half and the others from now on. */
    public void cut(IntPredicate isInHalf) {
        isInFirstHalf = isInHalf;
    }

    /**
     * From now on, loses all messages from other instances to these; messages in the other
     * direction pass.
     */
    public void deafen(IntPredicate receivers) {
        isDeaf = receivers;
    }

    /** Restores all links. */
    public void heal() {
        isInFirstHalf = number -> true;
        isDeaf = number -> false;
    }

    /**
     * Delivers a message to an instance as if another had sent it, regardless of network faults.
     */
    public void inject(int to, int from, byte[] message) {
        hosts.get(to).receive(from, message);
    }

    public boolean runs(int number) {
        return hosts.get(number).swim != null;
    }

    /** Returns the membership view of an instance, or null if it does not run. */
    public SwimMember view(int number) {
        return hosts.get(number).swim;
    }

    public int size() {
        return hosts.size();
    }

    /** Returns all changes of state that instances recorded, in order. */
    public List<Change> changes() {
        return changes;
    }

    /** Returns the number of messages sent by all instances. */
    public long messages() {
        return hosts.stream().mapToLong(host -> host.messages).sum();
    }

    /** Returns the number of bytes sent by all instances, without the headers of lower layers. */
    public long bytes() {
        return hosts.stream().mapToLong(host -> host.bytes).sum();
    }

    /** Returns the maximum number of messages that one instance sent within one second. */
    public long maxInSecond() {
        return hosts.stream().mapToLong(host -> host.maxInSecond).max().orElse(0);
    }
}
