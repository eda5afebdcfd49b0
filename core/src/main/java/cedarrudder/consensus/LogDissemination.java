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
 * Dissemination of committed entries to all replicas by gossip. A replica that learns of new
 * entries passes them on to a few others at random. In addition, each replica regularly sends
 * another one a digest of what it has, so that whichever of the two lacks something requests it
 * (Demers and others 1987). What a replica sends does not depend on the number of replicas.
 */
final class LogDissemination {

    private static final int MAX_PUSHED_BYTES = 2_048;
    private static final int MAX_ENTRIES_BYTES = 4_096;
    private static final long MILLI = 1_000_000L;
    private static final int CHUNK_BYTES = 4_096;

    /**
     * The interval between digests, in nanoseconds, for a while after a replica learned of new
     * entries, because some replicas may have missed them.
     */
    private static final long FAST_DIGEST_PERIOD = 50_000_000L;

    private static final int FAST_DIGESTS = 10;

    /** If the leader contact is older than this many periods, digests are sent twice as often. */
    private static final int OLD_PERIODS = 5;

    private static final long MIN_REPLY_INTERVAL_NANOS = 10_000_000L;
    private static final long MIN_FETCH_INTERVAL_NANOS = 100_000_000L;

    /** A snapshot of which the beginning was received. */
    private record Fetch(SnapshotChunk first, byte[] state, int received) {}

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final ReplicaDirectory replicas;
    private final RandomGenerator random;
    private final ByteRateLimiter limiter;
    private final LeaderContact contact;
    private final PendingQueries queries;
    private Fetch fetch;
    private long fetchedAt;
    private long digestAt;
    private int fastDigestsLeft;
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
        this.fetchedAt = now - MIN_FETCH_INTERVAL_NANOS;
        this.repliedAt = now - MIN_REPLY_INTERVAL_NANOS;
        this.heartbeatAt = now;
    }

    /** Resets everything that was known of the former group. */
    void reset(long now) {
        fetch = null;
        fetchedAt = now - MIN_FETCH_INTERVAL_NANOS;
        heartbeatTerm = 0;
        heartbeatSequence = 0;
        heartbeatAt = now;
        leader = -1;
    }

    /** Returns the replica that the newest known heartbeat came from; -1 if none is known. */
    int leader() {
        return leader;
    }

    long heartbeatTerm() {
        return heartbeatTerm;
    }

    /** Returns when this replica learned of the newest known heartbeat of a leader. */
    long heartbeatAt() {
        return heartbeatAt;
    }

    /** Records a heartbeat of this replica, which leads and is answered by a majority. */
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
            // A replica whose queries were lost sends more of them.
            int age = contact.age(now);
            boolean isOld = age * MILLI > OLD_PERIODS * settings.spreadPeriod();
            long period = settings.spreadPeriod() / (isOld ? 2 : 1);
            digestAt = now + (fastDigestsLeft > 0 ? Math.min(FAST_DIGEST_PERIOD, period) : period);
            fastDigestsLeft = Math.max(0, fastDigestsLeft - 1);
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
     * Responds to the sender of a fragment that is not admitted, at most once per 10 ms: with a
     * response to its digest, if the fragment contained one, and with a digest of this replica if
     * the sender has to learn or to prove something.
     */
    void rejectOutdated(long now, int to, Digest digest, boolean sendsDigest) {
        if (now - repliedAt >= MIN_REPLY_INTERVAL_NANOS) {
            repliedAt = now;
            if (digest != null) {
                respond(now, to, digest);
            }
            if (sendsDigest || digest == null) {
                sendDigest(now, to);
            }
        }
    }

    private void respond(long now, int to, Digest digest) {
        context.send(to, new DigestResponse(digest.queryId(), contact.age(now), contact.index()));
    }

    /** Returns whether a response answers a query that was sent to its sender. */
    boolean answersQuery(int from, DigestResponse response) {
        return queries.sentAt(from, response.queryId()) != PendingQueries.NEVER;
    }

    /** Records a leader contact if this replica has applied all commits that belong to it. */
    void onReceived(long now, int from, DigestResponse response) {
        long queriedAt = queries.sentAt(from, response.queryId());
        if (queriedAt != PendingQueries.NEVER
                && response.age() >= 0
                && context.log().commitIndex() >= response.commitIndex()) {
            contact.onReported(now, queriedAt, response.age(), response.commitIndex());
        }
    }

    /**
     * Responds to a replica that knows of an older leader contact, and queries one that knows of a
     * newer contact.
     */
    private void compareContacts(long now, int from, Digest digest) {
        long margin = settings.spreadPeriod() / 2 / MILLI;
        int ownAge = contact.age(now);
        int otherAge = digest.age();
        if (ownAge >= 0 && (otherAge < 0 || ownAge + margin < otherAge)) {
            if (limiter.tryAcquire(now, MessageFragment.HEADER_BYTES)) {
                respond(now, from, digest);
            }
        } else if (otherAge >= 0
                && (ownAge < 0 || otherAge + margin < ownAge)
                && digest.commitIndex() <= context.log().commitIndex()
                && limiter.tryAcquire(now, MessageFragment.HEADER_BYTES)) {
            sendDigest(now, from);
        }
    }

    /**
     * Passes on the entries that were committed after an index at once, or sends digests if they
     * are too large.
     */
    void onCommitted(long now, long from) {
        RaftLog log = context.log();
        boolean canPush = from >= log.firstIndex();
        CommittedEntries committed = canPush ? committedEntries(from, MAX_PUSHED_BYTES) : null;
        canPush = canPush && from + committed.entries().size() == log.commitIndex();
        for (int i = 0; i < settings.fanout(); i++) {
            int to = replicas.random(random);
            if (canPush && to >= 0 && limiter.tryAcquire(now, size(committed.entries()))) {
                context.send(to, committed);
            } else {
                sendDigest(now, to);
            }
        }
        fastDigestsLeft = FAST_DIGESTS;
        digestAt = Math.min(digestAt, now + FAST_DIGEST_PERIOD);
    }

    private CommittedEntries committedEntries(long after, int max) {
        RaftLog log = context.log();
        List<LogEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (long i = after + 1; i <= log.commitIndex(); i++) {
            bytes += RaftMessageCodec.size(log.entry(i));
            if (bytes > max && !(entries.isEmpty() && max == MAX_ENTRIES_BYTES)) {
                break;
            }
            entries.add(log.entry(i));
        }
        return new CommittedEntries(after, entries);
    }

    private static int size(List<LogEntry> entries) {
        return MessageFragment.HEADER_BYTES
                + entries.stream().mapToInt(RaftMessageCodec::size).sum();
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
            compareContacts(now, from, digest);
        }
        RaftLog log = context.log();
        if (digest.commitIndex() > log.commitIndex()) {
            fetchFrom(now, from);
        } else if (digest.commitIndex() < log.commitIndex()) {
            if (digest.commitIndex() >= log.firstIndex()) {
                sendEntries(now, from, digest.commitIndex());
            } else {
                sendDigest(now, from);
            }
        }
    }

    /** Requests missing entries from a replica, unless some were requested just now. */
    void fetchFrom(long now, int from) {
        if (now - fetchedAt >= MIN_FETCH_INTERVAL_NANOS) {
            fetchedAt = now;
            context.send(
                    from,
                    new FetchRequest(
                            context.log().commitIndex(),
                            fetch == null ? 0 : fetch.first.index(),
                            fetch == null ? 0 : fetch.received));
        }
    }

    private void sendEntries(long now, int to, long after) {
        CommittedEntries committed = committedEntries(after, MAX_ENTRIES_BYTES);
        if (!committed.entries().isEmpty() && limiter.tryAcquire(now, size(committed.entries()))) {
            context.send(to, committed);
        }
    }

    void onFetchRequest(long now, int to, FetchRequest request) {
        RaftLog log = context.log();
        if (request.afterIndex() >= log.commitIndex()) {
            return;
        }
        if (request.afterIndex() >= log.firstIndex()) {
            sendEntries(now, to, request.afterIndex());
            return;
        }
        Snapshot snapshot = log.snapshot();
        byte[] state = snapshot.state();
        int offset =
                request.snapshotIndex() == snapshot.index() && request.offset() <= state.length
                        ? request.offset()
                        : 0;
        int end = Math.min(state.length, offset + CHUNK_BYTES);
        if (limiter.tryAcquire(now, MessageFragment.HEADER_BYTES + end - offset)) {
            context.send(
                    to,
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

    /** Handles committed entries. */
    void onReceived(long now, int from, CommittedEntries committed) {
        RaftLog log = context.log();
        if (committed.previousIndex() > log.commitIndex()) {
            fetchFrom(now, from);
            return;
        }
        long end = committed.previousIndex() + committed.entries().size();
        if (end <= log.commitIndex()) {
            return;
        }
        for (long i = log.commitIndex() + 1; i <= end; i++) {
            LogEntry entry = committed.entries().get((int) (i - committed.previousIndex() - 1));
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
        if (size(committed.entries()) > MAX_ENTRIES_BYTES / 2) {
            fetchedAt = now - MIN_FETCH_INTERVAL_NANOS;
            fetchFrom(now, from);
        }
    }

    /** Handles a part of a snapshot; returns the snapshot once it is complete, otherwise null. */
    Snapshot onReceived(long now, int from, SnapshotChunk chunk) {
        if (chunk.index() <= context.log().commitIndex()) {
            return null;
        }
        boolean continuesFetch =
                fetch != null
                        && fetch.first.index() == chunk.index()
                        && fetch.first.sum() == chunk.sum()
                        && fetch.state.length == chunk.total();
        if (!continuesFetch) {
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
            fetchedAt = now - MIN_FETCH_INTERVAL_NANOS;
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
