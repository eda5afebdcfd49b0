package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;

/**
 * The numbering of route tables: the group's era and founder, then a counter within the group, so
 * that each group's numbers are above those of every former group.
 */
final class TableNumbering {
    private static final int COUNTER_BITS = 28;
    private static final int FOUNDER_BITS = 16;
    private static final long MAX_GROUP = Long.MAX_VALUE >>> COUNTER_BITS;

    private TableNumbering() {}

    /** Returns the group's era and founder as one number, which identifies the group in tables. */
    static long groupNumber(VoterGroup group) {
        return Math.min((long) group.era() << FOUNDER_BITS | group.founder(), MAX_GROUP);
    }

    /** Returns the number before that of the group's first table. */
    static long base(VoterGroup group) {
        return groupNumber(group) << COUNTER_BITS;
    }
}
