package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.AppendEntries;
import cedarrudder.consensus.RaftMessage.AppendResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What a leader does in its term: sends entries to the other voters, and counts who has them
 * (paper, 5.3).
 */
final class LogReplication {

    /** Entries in one message take at most this many bytes, or there is one. */
    static final int MAX_BATCH = 4_096;

    /**
     * A message of entries is not repeated for this long: pieces that were lost are asked for by
     * themselves.
     */
    private static final int REPEAT_HEARTBEATS = 4;

    /**
     * This long after entries went out it asks if they came, and again after twice that: answers
     * get lost.
     */
    private static final long PROBE = 60_000_000L;

    /** How far one other is. */
    private static final class Progress {
        long matchIndex;
        long nextIndex;
        long sentAt;

        /** The last entry that was sent. */
        long sentEnd;

        long probeAt;

        /** When it was sent what it answered last. */
        long answeredQueryAt = PendingQueries.NEVER;

        boolean inFlight;
        long answeredAt;

        Progress(long nextIndex, long now) {
            this.nextIndex = nextIndex;
            this.answeredAt = now;
        }
    }

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final SafetyRules rules;
    private final Map<Voter, Progress> followers = new HashMap<>();
    private final PendingQueries queries;
    private int ask;
    private Voter learner;
    private long heartbeatAt;

    LogReplication(
            RaftContext context,
            ConsensusSettings settings,
            SafetyRules rules,
            RandomGenerator random,
            long now) {
        this.context = context;
        this.settings = settings;
        this.rules = rules;
        this.heartbeatAt = now;
        this.queries = new PendingQueries(random);
        this.ask = queries.add(now, PendingQueries.ANY);
        targets().forEach(voter -> progress(now, voter));
    }

    private List<Voter> targets() {
        List<Voter> all = new ArrayList<>(context.log().voters().all());
        all.remove(context.self());
        if (learner != null && !all.contains(learner)) {
            all.add(learner);
        }
        return all;
    }

    private Progress progress(long now, Voter voter) {
        return followers.computeIfAbsent(
                voter, v -> new Progress(context.log().lastIndex() + 1, now));
    }

    /** Sends entries to this one too, who does not vote yet; null ends that. */
    void startLearner(Voter voter) {
        learner = voter;
    }

    Voter learner() {
        return learner;
    }

    /** Up to which index this one has the log. */
    long matchIndex(Voter voter) {
        Progress found = followers.get(voter);
        return voter.equals(context.self())
                ? context.log().lastIndex()
                : found == null ? 0 : found.matchIndex;
    }

    /** How long it is since this many had answered that they are a majority. */
    long sinceMajorityNanos(long now) {
        List<Long> ages =
                context.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(context.self())
                                                ? 0L
                                                : now - progress(now, voter).answeredAt)
                        .sorted()
                        .toList();
        return ages.isEmpty() ? 0 : ages.get(ages.size() / 2);
    }

    /**
     * The latest instant at which something was sent that a majority has answered: until then
     * nobody else had been elected. {@link PendingQueries#NEVER} where none has.
     */
    long answeredSince(long now) {
        List<Long> asked =
                context.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(context.self())
                                                ? now
                                                : progress(now, voter).answeredQueryAt)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return asked.isEmpty() ? PendingQueries.NEVER : asked.get(asked.size() / 2);
    }

    long due() {
        long due = heartbeatAt;
        for (Voter voter : targets()) {
            Progress progress = followers.get(voter);
            due = progress == null || !progress.inFlight ? due : Math.min(due, progress.probeAt);
        }
        return due;
    }

    /** Whether it was time for a heartbeat, which went out. */
    boolean tick(long now) {
        if (now < heartbeatAt) {
            targets().forEach(voter -> probe(now, voter));
            return false;
        }
        heartbeatAt = now + settings.heartbeat();
        followers.keySet().retainAll(targets());
        ask = queries.add(now, PendingQueries.ANY);
        for (Voter voter : targets()) {
            send(now, voter, true);
        }
        return true;
    }

    private void probe(long now, Voter to) {
        Progress progress = progress(now, to);
        if (progress.inFlight && now >= progress.probeAt) {
            progress.probeAt = now + 2 * Math.max(PROBE, progress.probeAt - progress.sentAt);
            RaftLog log = context.log();
            if (progress.sentEnd >= log.firstIndex()) {
                context.send(
                        to.replica(),
                        new AppendEntries(
                                progress.sentEnd,
                                log.term(progress.sentEnd),
                                log.commitIndex(),
                                ask,
                                List.of()));
            }
        }
    }

    /** There is more to send. */
    void onAppended(long now) {
        for (Voter voter : targets()) {
            send(now, voter, false);
        }
        advanceCommitIndex(now);
    }

    private void send(long now, Voter to, boolean beats) {
        RaftLog log = context.log();
        Progress progress = progress(now, to);
        boolean waits =
                progress.inFlight
                        && now - progress.sentAt < REPEAT_HEARTBEATS * settings.heartbeat();
        if (progress.nextIndex <= log.firstIndex()
                || waits
                || progress.nextIndex > log.lastIndex()) {
            if (beats) {
                // What it lacks is on its way, or it has to ask for a snapshot, which it learns
                // from this.
                long after =
                        progress.nextIndex > log.lastIndex()
                                ? log.lastIndex()
                                : Math.max(progress.matchIndex, log.firstIndex());
                context.send(
                        to.replica(),
                        new AppendEntries(
                                after, log.term(after), log.commitIndex(), ask, List.of()));
            }
            return;
        }
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = progress.nextIndex; i <= log.lastIndex(); i++) {
            LogEntry entry = log.entry(i);
            bytes += RaftMessageCodec.size(entry);
            if (!batch.isEmpty() && bytes > MAX_BATCH) {
                break;
            }
            batch.add(entry);
        }
        progress.inFlight = true;
        progress.sentAt = now;
        progress.sentEnd = progress.nextIndex + batch.size() - 1;
        progress.probeAt = now + PROBE;
        long after = progress.nextIndex - 1;
        context.send(
                to.replica(),
                new AppendEntries(after, log.term(after), log.commitIndex(), ask, batch));
    }

    void onResponse(long now, Voter by, AppendResponse say) {
        Progress progress = followers.get(by);
        if (progress == null) {
            return;
        }
        progress.answeredAt = now;
        progress.answeredQueryAt =
                Math.max(progress.answeredQueryAt, queries.sentAt(by.replica(), say.queryId()));
        RaftLog log = context.log();
        if (say.success()) {
            if (say.matchIndex() > progress.matchIndex && say.matchIndex() <= log.lastIndex()) {
                progress.matchIndex = say.matchIndex();
                progress.nextIndex = progress.matchIndex + 1;
                progress.inFlight = false;
                advanceCommitIndex(now);
            }
        } else if (say.matchIndex() + 1 < progress.nextIndex || progress.inFlight) {
            progress.nextIndex =
                    Math.max(progress.matchIndex, Math.min(say.matchIndex(), log.lastIndex())) + 1;
            progress.inFlight = false;
        }
        if (progress.nextIndex <= log.lastIndex()) {
            send(now, by, false);
        }
    }

    /**
     * An entry is counted by the voters of its own index: one to be added counts from the entry
     * that adds it.
     */
    private void advanceCommitIndex(long now) {
        RaftLog log = context.log();
        for (long i = log.lastIndex(); i > log.commitIndex(); i--) {
            long index = i;
            if (rules.mayCommitByCounting(log.term(i), context.term())
                    && log.votersAt(i).quorum(voter -> matchIndex(voter) >= index)) {
                log.commit(i);
                context.onCommitAdvanced(now);
                return;
            }
        }
    }
}
