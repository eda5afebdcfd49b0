package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.CommittedEntries;
import cedarrudder.consensus.RaftMessage.Digest;
import cedarrudder.consensus.RaftMessage.DigestResponse;
import cedarrudder.consensus.RaftMessage.FetchRequest;
import cedarrudder.consensus.RaftMessage.SnapshotChunk;
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
    private record Fetch(SnapshotChunk first, byte[] state, int received) {}

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final ReplicaDirectory replicas;
    private final RandomGenerator random;
    private final ByteRateLimiter limiter;
    private final LeaderContact contact;
    private final PendingQueries queries;
    private Fetch fetch;
    private long askedAt;
    private long digestAt;
    private int hotDigests;
    private long repliedAt;
    private long heartbeatTerm;
    private long heartbeatSequence;
    private long heartbeatAt;
    private int leader = -1;

    LogDissemination(
            RaftContext context,
            ConsensusSettings settings,
            ReplicaDirectory replicas,
            RandomGenerator random,
            ByteRateLimiter limiter,
            LeaderContact contact,
            long now) {
        this.context = context;
        this.settings = settings;
        this.replicas = replicas;
        this.random = random;
        this.limiter = limiter;
        this.contact = contact;
        this.queries = new PendingQueries(random);
        this.digestAt = now + (long) (random.nextDouble() * settings.spreadPeriod());
        this.askedAt = now - PATIENCE;
        this.repliedAt = now - REPLIES;
        this.heartbeatAt = now;
    }

    /** Another group: nothing of the former counts. */
    void reset(long now) {
        fetch = null;
        askedAt = now - PATIENCE;
        heartbeatTerm = 0;
        heartbeatSequence = 0;
        heartbeatAt = now;
        leader = -1;
    }

    /** Which replica the newest sign of a leader was of; -1 where there was none. */
    int leader() {
        return leader;
    }

    long heartbeatTerm() {
        return heartbeatTerm;
    }

    /** When the last known heartbeat of a leader came. */
    long heartbeatAt() {
        return heartbeatAt;
    }

    /** This replica leads, and a majority answers it. */
    void onLeaderHeartbeat(long now) {
        heartbeatTerm = context.term();
        heartbeatSequence++;
        heartbeatAt = now;
        leader = context.self().replica();
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
            sendDigest(now, replicas.random(random));
        }
    }

    private void sendDigest(long now, int to) {
        if (to >= 0) {
            context.send(
                    to,
                    new Digest(
                            context.log().commitIndex(),
                            heartbeatTerm,
                            heartbeatSequence,
                            Math.max(0, leader),
                            replicas.incarnation(to),
                            contact.age(now),
                            queries.add(now, to)));
        }
    }

    /**
     * Answers one whose piece is not admitted, at most one each 10 ms: its question, if it is one,
     * and where it has to learn or to prove something, with a question.
     */
    void rejectOutdated(long now, int to, Digest asks, boolean tells) {
        if (now - repliedAt >= REPLIES) {
            repliedAt = now;
            if (asks != null) {
                respond(now, to, asks);
            }
            if (tells || asks == null) {
                sendDigest(now, to);
            }
        }
    }

    private void respond(long now, int to, Digest asks) {
        context.send(to, new DigestResponse(asks.queryId(), contact.age(now), contact.index()));
    }

    /** Whether this one answers what was asked of it. */
    boolean answersQuery(int by, DigestResponse sure) {
        return queries.sentAt(by, sure.queryId()) != PendingQueries.NEVER;
    }

    /** Takes a contact, where this replica has loaded all that it is of. */
    void onReceived(long now, int from, DigestResponse sure) {
        long askedAt = queries.sentAt(from, sure.queryId());
        if (askedAt != PendingQueries.NEVER
                && sure.age() >= 0
                && context.log().commitIndex() >= sure.commitIndex()) {
            contact.onReported(now, askedAt, sure.age(), sure.commitIndex());
        }
    }

    /** Answers one who knows of an older contact; asks one who knows of a newer one. */
    private void compare(long now, int from, Digest digest) {
        long margin = settings.spreadPeriod() / 2 / MILLI;
        int own = contact.age(now);
        int other = digest.age();
        if (own >= 0 && (other < 0 || own + margin < other)) {
            if (limiter.tryAcquire(now, MessageFragment.HEAD)) {
                respond(now, from, digest);
            }
        } else if (other >= 0
                && (own < 0 || other + margin < own)
                && digest.commitIndex() <= context.log().commitIndex()
                && limiter.tryAcquire(now, MessageFragment.HEAD)) {
            sendDigest(now, from);
        }
    }

    /**
     * More is committed than up to there: passes it on at once, or says that there is something.
     */
    void onCommitted(long now, long from) {
        RaftLog log = context.log();
        boolean small = from >= log.firstIndex();
        CommittedEntries news = small ? committedEntries(from, MAX_PUSHED) : null;
        small = small && from + news.entries().size() == log.commitIndex();
        for (int i = 0; i < settings.fanout(); i++) {
            int to = replicas.random(random);
            if (small && to >= 0 && limiter.tryAcquire(now, size(news.entries()))) {
                context.send(to, news);
            } else {
                sendDigest(now, to);
            }
        }
        hotDigests = HOT_DIGESTS;
        digestAt = Math.min(digestAt, now + HOT_PERIOD);
    }

    private CommittedEntries committedEntries(long after, int max) {
        RaftLog log = context.log();
        List<LogEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (long i = after + 1; i <= log.commitIndex(); i++) {
            bytes += RaftMessageCodec.size(log.entry(i));
            if (bytes > max && !(entries.isEmpty() && max == MAX_NEWS)) {
                break;
            }
            entries.add(log.entry(i));
        }
        return new CommittedEntries(after, entries);
    }

    private static int size(List<LogEntry> entries) {
        return MessageFragment.HEAD + entries.stream().mapToInt(RaftMessageCodec::size).sum();
    }

    void onDigest(long now, int from, Digest digest) {
        if (digest.heartbeatTerm() > heartbeatTerm
                || digest.heartbeatTerm() == heartbeatTerm
                        && digest.heartbeatSequence() > heartbeatSequence) {
            heartbeatTerm = digest.heartbeatTerm();
            heartbeatSequence = digest.heartbeatSequence();
            heartbeatAt = now;
            leader = digest.leader() < replicas.replicas() ? digest.leader() : -1;
        }
        if (digest.yourIncarnation() != 0
                && digest.yourIncarnation() < context.self().incarnation()) {
            respond(now, from, digest);
        } else {
            compare(now, from, digest);
        }
        RaftLog log = context.log();
        if (digest.commitIndex() > log.commitIndex()) {
            fetchFrom(now, from);
        } else if (digest.commitIndex() < log.commitIndex()) {
            if (digest.commitIndex() >= log.firstIndex()) {
                feed(now, from, digest.commitIndex());
            } else {
                sendDigest(now, from);
            }
        }
    }

    /** Asks this one for what is lacking, unless something was asked for just now. */
    void fetchFrom(long now, int from) {
        if (now - askedAt >= PATIENCE) {
            askedAt = now;
            context.send(
                    from,
                    new FetchRequest(
                            context.log().commitIndex(),
                            fetch == null ? 0 : fetch.first.index(),
                            fetch == null ? 0 : fetch.received));
        }
    }

    private void feed(long now, int to, long after) {
        CommittedEntries news = committedEntries(after, MAX_NEWS);
        if (!news.entries().isEmpty() && limiter.tryAcquire(now, size(news.entries()))) {
            context.send(to, news);
        }
    }

    void onFetchRequest(long now, int by, FetchRequest ask) {
        RaftLog log = context.log();
        if (ask.afterIndex() >= log.commitIndex()) {
            return;
        }
        if (ask.afterIndex() >= log.firstIndex()) {
            feed(now, by, ask.afterIndex());
            return;
        }
        Snapshot snapshot = log.snapshot();
        byte[] state = snapshot.state();
        int offset =
                ask.snapshotIndex() == snapshot.index() && ask.offset() <= state.length
                        ? ask.offset()
                        : 0;
        int end = Math.min(state.length, offset + CHUNK);
        if (limiter.tryAcquire(now, MessageFragment.HEAD + end - offset)) {
            context.send(
                    by,
                    new SnapshotChunk(
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
    void onReceived(long now, int from, CommittedEntries news) {
        RaftLog log = context.log();
        if (news.previousIndex() > log.commitIndex()) {
            fetchFrom(now, from);
            return;
        }
        long end = news.previousIndex() + news.entries().size();
        if (end <= log.commitIndex()) {
            return;
        }
        for (long i = log.commitIndex() + 1; i <= end; i++) {
            LogEntry entry = news.entries().get((int) (i - news.previousIndex() - 1));
            if (log.term(i) != entry.term()) {
                if (i <= log.lastIndex()) {
                    log.truncateFrom(i);
                }
                log.append(entry);
                context.record(
                        new ConsensusEvent.EntryStored(context.group(), i, context.self(), entry));
            }
        }
        log.commit(end);
        context.onCommitAdvanced(now);
        if (size(news.entries()) > MAX_NEWS / 2) {
            askedAt = now - PATIENCE;
            fetchFrom(now, from);
        }
    }

    /** Takes part of a snapshot; returns it once it is whole. */
    Snapshot onReceived(long now, int from, SnapshotChunk chunk) {
        if (chunk.index() <= context.log().commitIndex()) {
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
        if (chunk.offset() != fetch.received) {
            return null;
        }
        System.arraycopy(chunk.bytes(), 0, fetch.state, fetch.received, chunk.bytes().length);
        fetch = new Fetch(fetch.first, fetch.state, fetch.received + chunk.bytes().length);
        if (fetch.received < fetch.state.length) {
            askedAt = now - PATIENCE;
            fetchFrom(now, from);
            return null;
        }
        Fetch completed = fetch;
        fetch = null;
        return MessageFragment.checksum(completed.state, 0, completed.received) != chunk.sum()
                ? null
                : new Snapshot(chunk.index(), chunk.term(), chunk.voters(), completed.state);
    }
}
