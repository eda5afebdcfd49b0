package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.Ask;
import cedarrudder.consensus.RaftMessage.Chunk;
import cedarrudder.consensus.RaftMessage.Digest;
import cedarrudder.consensus.RaftMessage.News;
import cedarrudder.consensus.RaftMessage.Sure;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * How what is committed comes to all replicas: who learns something passes it on to a few at
 * random, and each replica tells another now and then what it has, so that the one that lacks
 * something asks for it (Demers and others 1987). What a replica sends does not depend on how many
 * there are.
 */
final class LogDissemination {

    private static final int MAX_PUSHED = 2_048;
    private static final int MAX_NEWS = 4_096;
    private static final long MILLI = 1_000_000L;
    private static final int CHUNK = 4_096;

    /**
     * Who has just learned something tells of it more often for a while: it may have passed others
     * by.
     */
    private static final long HOT_PERIOD = 50_000_000L;

    private static final int HOT_DIGESTS = 10;

    /** A contact older than this many periods is asked for twice as often. */
    private static final int OLD_PERIODS = 5;

    private static final long REPLIES = 10_000_000L;
    private static final long PATIENCE = 100_000_000L;

    /** A snapshot of which the beginning is there. */
    private record Fetch(Chunk first, byte[] state, int got) {}

    private final RaftContext circle;
    private final ConsensusSettings settings;
    private final ReplicaDirectory tier;
    private final RandomGenerator random;
    private final ByteRateLimiter allowance;
    private final LeaderContact contact;
    private final PendingQueries asks;
    private Fetch fetch;
    private long askedAt;
    private long digestAt;
    private int hotDigests;
    private long repliedAt;
    private long beatTerm;
    private long beat;
    private long beatAt;
    private int leader = -1;

    LogDissemination(
            RaftContext circle,
            ConsensusSettings settings,
            ReplicaDirectory tier,
            RandomGenerator random,
            ByteRateLimiter allowance,
            LeaderContact contact,
            long now) {
        this.circle = circle;
        this.settings = settings;
        this.tier = tier;
        this.random = random;
        this.allowance = allowance;
        this.contact = contact;
        this.asks = new PendingQueries(random);
        this.digestAt = now + (long) (random.nextDouble() * settings.spreadPeriod());
        this.askedAt = now - PATIENCE;
        this.repliedAt = now - REPLIES;
        this.beatAt = now;
    }

    /** Another group: nothing of the former counts. */
    void reset(long now) {
        fetch = null;
        askedAt = now - PATIENCE;
        beatTerm = 0;
        beat = 0;
        beatAt = now;
        leader = -1;
    }

    /** Which replica the newest sign of a leader was of; -1 where there was none. */
    int leader() {
        return leader;
    }

    long beatTerm() {
        return beatTerm;
    }

    /** When it last heard that a leader leads. */
    long beatAt() {
        return beatAt;
    }

    /** This replica leads, and a majority answers it. */
    void beats(long now) {
        beatTerm = circle.term();
        beat++;
        beatAt = now;
        leader = circle.self().replica();
    }

    long due() {
        return digestAt;
    }

    void tick(long now) {
        if (now >= digestAt) {
            // One whose questions were lost asks more often.
            int age = contact.age(now);
            boolean old = age * MILLI > OLD_PERIODS * settings.spreadPeriod();
            long period = settings.spreadPeriod() / (old ? 2 : 1);
            digestAt = now + (hotDigests > 0 ? Math.min(HOT_PERIOD, period) : period);
            hotDigests = Math.max(0, hotDigests - 1);
            tell(now, tier.any(random));
        }
    }

    private void tell(long now, int to) {
        if (to >= 0) {
            circle.post(
                    to,
                    new Digest(
                            circle.log().committed(),
                            beatTerm,
                            beat,
                            Math.max(0, leader),
                            tier.incarnation(to),
                            contact.age(now),
                            asks.ask(now, to)));
        }
    }

    /**
     * Answers one whose piece is not admitted, at most one each 10 ms: its question, if it is one,
     * and where it has to learn or to prove something, with a question.
     */
    void refuse(long now, int to, Digest asks, boolean tells) {
        if (now - repliedAt >= REPLIES) {
            repliedAt = now;
            if (asks != null) {
                answer(now, to, asks);
            }
            if (tells || asks == null) {
                tell(now, to);
            }
        }
    }

    private void answer(long now, int to, Digest asks) {
        circle.post(to, new Sure(asks.ask(), contact.age(now), contact.index()));
    }

    /** Whether this one answers what was asked of it. */
    boolean answers(int by, Sure sure) {
        return asks.at(by, sure.answers()) != PendingQueries.NEVER;
    }

    /** Takes a contact, where this replica has loaded all that it is of. */
    void took(long now, int from, Sure sure) {
        long askedAt = asks.at(from, sure.answers());
        if (askedAt != PendingQueries.NEVER
                && sure.age() >= 0
                && circle.log().committed() >= sure.committed()) {
            contact.told(now, askedAt, sure.age(), sure.committed());
        }
    }

    /** Answers one who knows of an older contact; asks one who knows of a newer one. */
    private void compare(long now, int from, Digest digest) {
        long margin = settings.spreadPeriod() / 2 / MILLI;
        int own = contact.age(now);
        int other = digest.age();
        if (own >= 0 && (other < 0 || own + margin < other)) {
            if (allowance.spend(now, MessageFragment.HEAD)) {
                answer(now, from, digest);
            }
        } else if (other >= 0
                && (own < 0 || other + margin < own)
                && digest.committed() <= circle.log().committed()
                && allowance.spend(now, MessageFragment.HEAD)) {
            tell(now, from);
        }
    }

    /**
     * More is committed than up to there: passes it on at once, or says that there is something.
     */
    void learned(long now, long from) {
        RaftLog log = circle.log();
        boolean small = from >= log.base();
        News news = small ? news(from, MAX_PUSHED) : null;
        small = small && from + news.entries().size() == log.committed();
        for (int i = 0; i < settings.fanout(); i++) {
            int to = tier.any(random);
            if (small && to >= 0 && allowance.spend(now, size(news.entries()))) {
                circle.post(to, news);
            } else {
                tell(now, to);
            }
        }
        hotDigests = HOT_DIGESTS;
        digestAt = Math.min(digestAt, now + HOT_PERIOD);
    }

    private News news(long after, int max) {
        RaftLog log = circle.log();
        List<LogEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (long i = after + 1; i <= log.committed(); i++) {
            bytes += RaftMessage.size(log.entry(i));
            if (bytes > max && !(entries.isEmpty() && max == MAX_NEWS)) {
                break;
            }
            entries.add(log.entry(i));
        }
        return new News(after, entries);
    }

    private static int size(List<LogEntry> entries) {
        return MessageFragment.HEAD + entries.stream().mapToInt(RaftMessage::size).sum();
    }

    void told(long now, int from, Digest digest) {
        if (digest.beatTerm() > beatTerm || digest.beatTerm() == beatTerm && digest.beat() > beat) {
            beatTerm = digest.beatTerm();
            beat = digest.beat();
            beatAt = now;
            leader = digest.leader() < tier.replicas() ? digest.leader() : -1;
        }
        if (digest.yourIncarnation() != 0
                && digest.yourIncarnation() < circle.self().incarnation()) {
            answer(now, from, digest);
        } else {
            compare(now, from, digest);
        }
        RaftLog log = circle.log();
        if (digest.committed() > log.committed()) {
            ask(now, from);
        } else if (digest.committed() < log.committed()) {
            if (digest.committed() >= log.base()) {
                feed(now, from, digest.committed());
            } else {
                tell(now, from);
            }
        }
    }

    /** Asks this one for what is lacking, unless something was asked for just now. */
    void ask(long now, int from) {
        if (now - askedAt >= PATIENCE) {
            askedAt = now;
            circle.post(
                    from,
                    new Ask(
                            circle.log().committed(),
                            fetch == null ? 0 : fetch.first.index(),
                            fetch == null ? 0 : fetch.got));
        }
    }

    private void feed(long now, int to, long after) {
        News news = news(after, MAX_NEWS);
        if (!news.entries().isEmpty() && allowance.spend(now, size(news.entries()))) {
            circle.post(to, news);
        }
    }

    void asked(long now, int by, Ask ask) {
        RaftLog log = circle.log();
        if (ask.after() >= log.committed()) {
            return;
        }
        if (ask.after() >= log.base()) {
            feed(now, by, ask.after());
            return;
        }
        Snapshot snapshot = log.snapshot();
        byte[] state = snapshot.state();
        int offset =
                ask.snapshot() == snapshot.index() && ask.offset() <= state.length
                        ? ask.offset()
                        : 0;
        int end = Math.min(state.length, offset + CHUNK);
        if (allowance.spend(now, MessageFragment.HEAD + end - offset)) {
            circle.post(
                    by,
                    new Chunk(
                            snapshot.index(),
                            snapshot.term(),
                            snapshot.voters(),
                            MessageFragment.checksum(state, 0, state.length),
                            state.length,
                            offset,
                            Arrays.copyOfRange(state, offset, end)));
        }
    }

    /** Takes committed entries. */
    void took(long now, int from, News news) {
        RaftLog log = circle.log();
        if (news.after() > log.committed()) {
            ask(now, from);
            return;
        }
        long end = news.after() + news.entries().size();
        if (end <= log.committed()) {
            return;
        }
        for (long i = log.committed() + 1; i <= end; i++) {
            LogEntry entry = news.entries().get((int) (i - news.after() - 1));
            if (log.term(i) != entry.term()) {
                if (i <= log.last()) {
                    log.cut(i);
                }
                log.append(entry);
                circle.note(new ConsensusEvent.Stored(circle.group(), i, circle.self(), entry));
            }
        }
        log.commit(end);
        circle.advanced(now);
        if (size(news.entries()) > MAX_NEWS / 2) {
            askedAt = now - PATIENCE;
            ask(now, from);
        }
    }

    /** Takes part of a snapshot; returns it once it is whole. */
    Snapshot took(long now, int from, Chunk chunk) {
        if (chunk.index() <= circle.log().committed()) {
            return null;
        }
        boolean goesOn =
                fetch != null
                        && fetch.first.index() == chunk.index()
                        && fetch.first.sum() == chunk.sum()
                        && fetch.state.length == chunk.total();
        if (!goesOn) {
            if (chunk.offset() != 0 || fetch != null && chunk.index() < fetch.first.index()) {
                return null;
            }
            fetch = new Fetch(chunk, new byte[chunk.total()], 0);
        }
        if (chunk.offset() != fetch.got) {
            return null;
        }
        System.arraycopy(chunk.bytes(), 0, fetch.state, fetch.got, chunk.bytes().length);
        fetch = new Fetch(fetch.first, fetch.state, fetch.got + chunk.bytes().length);
        if (fetch.got < fetch.state.length) {
            askedAt = now - PATIENCE;
            ask(now, from);
            return null;
        }
        Fetch whole = fetch;
        fetch = null;
        return MessageFragment.checksum(whole.state, 0, whole.got) != chunk.sum()
                ? null
                : new Snapshot(chunk.index(), chunk.term(), chunk.voters(), whole.state);
    }
}
