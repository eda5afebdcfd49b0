package cedarrudder.agreement;

/** What a copy says of itself, for logs and for a judge. */
public sealed interface Note {

    Group group();

    /** It promised a vote, its own included. */
    record Voted(Group group, long term, Voter by, Voter candidate) implements Note {}

    /** It leads from here on. */
    record Leads(Group group, long term, Voter by) implements Note {}

    /** It has stored an entry and may say so. */
    record Stored(Group group, long index, Voter by, Entry entry) implements Note {}

    /** It knows that these voters are committed. */
    record Seated(Group group, long index, Voters voters) implements Note {}
}
