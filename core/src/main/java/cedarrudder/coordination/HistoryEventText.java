package cedarrudder.coordination;

import cedarrudder.consensus.ConsensusEvent;
import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.routetable.RouteTable;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

/** Writes the events of a replica as {@link HistoryEntry}s, in the words that checkers read. */
final class HistoryEventText {

    private HistoryEventText() {}

    static HistoryEntry of(ConsensusEvent note) {
        String group = text(note.group());
        if (note instanceof ConsensusEvent.VoteGranted n) {
            return new HistoryEntry(
                    "voted",
                    Map.of(
                            "group",
                            group,
                            "term",
                            text(n.term()),
                            "as",
                            text(n.by().incarnation()),
                            "for",
                            text(n.candidate())));
        } else if (note instanceof ConsensusEvent.LeaderElected n) {
            return new HistoryEntry(
                    "leads",
                    Map.of(
                            "group",
                            group,
                            "term",
                            text(n.term()),
                            "as",
                            text(n.by().incarnation())));
        } else if (note instanceof ConsensusEvent.EntryStored n) {
            Map<String, String> fields =
                    new HashMap<>(
                            Map.of(
                                    "group",
                                    group,
                                    "index",
                                    text(n.index()),
                                    "as",
                                    text(n.by().incarnation()),
                                    "sum",
                                    sum(n.entry().content())));
            if (n.entry().kind() == LogEntry.Kind.VOTERS) {
                fields.put("voters", text(VoterSet.decode(n.entry().bytes())));
            }
            return new HistoryEntry("stored", fields);
        }
        ConsensusEvent.VotersChanged seated = (ConsensusEvent.VotersChanged) note;
        return new HistoryEntry(
                "seated",
                Map.of(
                        "group",
                        group,
                        "index",
                        text(seated.index()),
                        "voters",
                        text(seated.voters())));
    }

    static HistoryEntry loaded(LogPosition number, byte[] content, byte[] state) {
        return new HistoryEntry(
                "loaded",
                Map.of(
                        "group",
                        text(number.group()),
                        "index",
                        text(number.index()),
                        "sum",
                        sum(content),
                        "state",
                        sum(state)));
    }

    static HistoryEntry restored(LogPosition number, byte[] state, long incarnation) {
        return new HistoryEntry(
                "restored",
                Map.of(
                        "group",
                        text(number.group()),
                        "index",
                        text(number.index()),
                        "state",
                        sum(state),
                        "as",
                        text(incarnation)));
    }

    static HistoryEntry table(RouteTable table) {
        return new HistoryEntry(
                "table",
                Map.of(
                        "number",
                        text(table.number()),
                        "group",
                        text(table.group()),
                        "term",
                        text(table.term()),
                        "lease",
                        text(table.lease()),
                        "shares",
                        table.routes().stream()
                                .map(HistoryEventText::text)
                                .collect(Collectors.joining(","))));
    }

    /** As {@code from>to:way:parts:per_s}. */
    private static String text(RouteTable.ZoneRoute share) {
        return share.from()
                + ">"
                + share.to()
                + ":"
                + share.reason().name().toLowerCase(Locale.ROOT)
                + ":"
                + share.weight()
                + ":"
                + share.maxPerSecond();
    }

    static HistoryEntry lapsed(RouteTable table) {
        return new HistoryEntry("lapsed", Map.of("number", text(table.number())));
    }

    /** The lease counts from so long ago. */
    static HistoryEntry renewed(long age) {
        return new HistoryEntry("renewed", Map.of("age", text(age)));
    }

    static HistoryEntry leaving(List<RouteTable.DrainingNode> nodes) {
        return new HistoryEntry(
                "leaving",
                Map.of(
                        "nodes",
                        nodes.stream()
                                .map(node -> text(node.node()))
                                .collect(Collectors.joining(","))));
    }

    static HistoryEntry refused(RouteTable table, String why) {
        return new HistoryEntry("refused", Map.of("number", text(table.number()), "why", why));
    }

    /** A replica has no room for what the one that leads would have agreed on. */
    static HistoryEntry heldBack(int replica, int bytes, int nodes, RouteTableCapacity room) {
        return new HistoryEntry(
                "held-back",
                Map.of(
                        "by",
                        text(replica),
                        "bytes",
                        text(bytes),
                        "nodes",
                        text(nodes),
                        "room",
                        room.bytes() + " bytes, " + room.leaving() + " nodes"));
    }

    /** As texts that sort as the groups do. */
    static String text(VoterGroup group) {
        return String.format(
                Locale.ROOT, "%08x.%04x.%016x", group.era(), group.founder(), group.incarnation());
    }

    static String text(VoterSet voters) {
        return voters.all().stream().map(HistoryEventText::text).collect(Collectors.joining(","));
    }

    private static String text(Voter voter) {
        return voter.replica() + ":" + voter.incarnation();
    }

    private static String text(long number) {
        return Long.toString(number);
    }

    private static String sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return Long.toHexString(sum.getValue());
    }
}
