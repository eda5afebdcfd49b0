package cedarrudder.transport;

import cedarrudder.forwarding.TimerService;
import cedarrudder.membership.Member;
import cedarrudder.membership.Member.Standing;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.membership.SwimMember;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/**
 * Membership on the loop's clock and the socket to the peers; what it decides stands in {@link
 * SwimMember}. It belongs to the loop's thread.
 */
public final class MembershipService {

    /** Takes that a replica counts as live from now on, or as dead. */
    public interface Lives {
        void lives(int replica, boolean lives);
    }

    private final ProxyEventLoop loop;
    private final PeerSocket peers;
    private final IntConsumer live;
    private final EventRecorder notes;
    private final long incarnation;
    private final SwimMember swim;
    private TimerService.Timer timer;
    private long wakesAt = Long.MAX_VALUE;
    private int told;
    private Lives each = (replica, lives) -> {};

    /**
     * @param replicas how many proxies of the tier there may be, and {@code self} the number of
     *     this one
     * @param incarnation larger than that of the process before, such as the time of its start in
     *     milliseconds
     * @param live takes how many live, whenever that changes
     * @param notes takes what becomes known; null where nobody asked for that
     */
    public MembershipService(
            ProxyEventLoop loop,
            PeerSocket peers,
            MembershipSettings settings,
            int replicas,
            int self,
            long incarnation,
            RandomGenerator random,
            IntConsumer live,
            EventRecorder notes) {
        this.loop = loop;
        this.peers = peers;
        this.live = live;
        this.notes = notes;
        this.incarnation = incarnation;
        this.told = replicas;
        this.swim =
                new SwimMember(
                        replicas,
                        self,
                        incarnation,
                        settings,
                        random,
                        new SwimMember.Actions() {
                            @Override
                            public void send(int to, byte[] message) {
                                peers.send(to, message);
                            }

                            @Override
                            public void changed(Member before, Member now) {
                                note(before, now);
                            }
                        },
                        loop.now());
    }

    /** Tells this one of each replica, from now on; before it begins. */
    public void onEach(Lives hears) {
        each = hears;
    }

    /** Begins; on the loop. */
    public void start() {
        peers.hearer(this::heard);
        note("speaks", Map.of("number", incarnation));
        wake();
    }

    /** Says that this proxy leaves, so that the others need not find out; on the loop. */
    public void leave() {
        swim.leave();
        hush();
    }

    /** Says and hears nothing more, since another process of this proxy does; on the loop. */
    public void hush() {
        if (timer != null) {
            timer.cancel();
        }
        peers.close();
        note("silent", Map.of());
    }

    private void note(String what, Map<String, ?> fields) {
        if (notes != null) {
            notes.note(what, fields);
        }
    }

    private void heard(int from, byte[] message) {
        swim.onDatagram(loop.now(), from, message);
        wake();
    }

    private void tick() {
        wakesAt = Long.MAX_VALUE;
        swim.tick(loop.now());
        wake();
    }

    /** Sees to it that the next tick comes when it is due. */
    private void wake() {
        long due = swim.due();
        if (due == wakesAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        wakesAt = due;
        timer = due == Long.MAX_VALUE ? null : loop.at(due, this::tick);
    }

    private void note(Member before, Member now) {
        if (notes != null) {
            note(
                    now.standing().name().toLowerCase(Locale.ROOT),
                    Map.of("about", now.number(), "number", now.incarnation()));
        }
        if (before.standing() != now.standing()) {
            each.lives(now.number(), now.standing() != Standing.DEAD);
            if (now.standing() == Standing.SUSPECT) {
                loop.log().debug("member.suspect").with("copy", now.number()).write();
            } else if (now.standing() == Standing.DEAD) {
                loop.log()
                        .info("member.dead")
                        .with("copy", now.number())
                        .with("live", swim.liveCount())
                        .write();
            } else if (before.standing() == Standing.DEAD) {
                loop.log()
                        .info("member.back")
                        .with("copy", now.number())
                        .with("live", swim.liveCount())
                        .write();
            }
        }
        if (swim.liveCount() != told) {
            told = swim.liveCount();
            live.accept(told);
        }
    }
}
