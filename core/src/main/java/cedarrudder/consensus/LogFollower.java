package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.AppendEntries;
import cedarrudder.consensus.RaftMessage.AppendResponse;

/** A follower's handling of AppendEntries in log replication (Raft paper, 5.3). */
final class LogFollower {

    private final RaftContext context;
    private final Election election;
    private final LogDissemination dissemination;

    LogFollower(RaftContext context, Election election, LogDissemination dissemination) {
        this.context = context;
        this.election = election;
        this.dissemination = dissemination;
    }

    /** Handles AppendEntries from a leader. */
    void onAppend(long now, int leader, long term, AppendEntries append) {
        RaftLog log = context.log();
        if (term < election.term()) {
            respond(leader, append, false, log.lastIndex());
            return;
        }
        election.onLeaderContact(now, leader, term);
        int skipped = alreadyCommitted(append);
        long previous = append.previousIndex() + skipped;
        boolean allCommitted = previous < log.commitIndex();
        if (!allCommitted && !matchesPrevious(append, skipped, previous)) {
            respond(leader, append, false, Math.max(0, Math.min(log.lastIndex(), previous - 1)));
            if (append.commitIndex() > log.lastIndex()) {
                dissemination.fetchFrom(now, leader);
            }
            return;
        }
        long matchIndex = allCommitted ? previous : write(append, skipped, previous);
        context.sync();
        respond(leader, append, true, matchIndex);
        long committed = Math.min(append.commitIndex(), matchIndex);
        if (committed > log.commitIndex()) {
            log.commit(committed);
            context.onCommitAdvanced(now);
        }
    }

    /** Returns how many of the entries are already committed here and therefore skipped. */
    private int alreadyCommitted(AppendEntries append) {
        long committed = context.log().commitIndex() - append.previousIndex();
        return (int) Math.max(0, Math.min(committed, append.entries().size()));
    }

    private boolean matchesPrevious(AppendEntries append, int skipped, long previous) {
        RaftLog log = context.log();
        long previousTerm =
                skipped == 0 ? append.previousTerm() : append.entries().get(skipped - 1).term();
        return previous <= log.lastIndex() && log.term(previous) == previousTerm;
    }

    /**
     * Appends the entries that the log lacks, in place of conflicting ones; returns the index of
     * the last entry of the message.
     */
    private long write(AppendEntries append, int skipped, long previous) {
        RaftLog log = context.log();
        long index = previous;
        for (LogEntry entry : append.entries().subList(skipped, append.entries().size())) {
            index++;
            if (log.term(index) != entry.term()) {
                if (index <= log.lastIndex()) {
                    log.truncateFrom(index);
                }
                log.append(entry);
                context.record(
                        new ConsensusEvent.EntryStored(
                                context.group(), index, context.self(), entry));
            }
        }
        return index;
    }

    private void respond(int leader, AppendEntries append, boolean success, long index) {
        context.send(leader, new AppendResponse(success, index, append.queryId()));
    }
}
