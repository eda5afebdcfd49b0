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

/**
 * Converts the events of a replica to {@link HistoryEntry}s, with the names and fields that
 * checkers read.
 */
final class HistoryEventText {

    private HistoryEventText() {}

    static HistoryEntry of(ConsensusEvent event) {
        String group = text(event.group());
        if (event instanceof ConsensusEvent.VoteGranted granted) {
            return voteGranted(group, granted);
        } else if (event instanceof ConsensusEvent.LeaderElected elected) {
            return leaderElected(group, elected);
        } else if (event instanceof ConsensusEvent.EntryStored stored) {
            return entryStored(group, stored);
        }
        return votersChanged(group, (ConsensusEvent.VotersChanged) event);
    }

    private static HistoryEntry voteGranted(String group, ConsensusEvent.VoteGranted event) {
        return new HistoryEntry(
                "voted",
                Map.of(
                        "group", group,
                        "term", text(event.term()),
                        "as", text(event.by().incarnation()),
                        "for", text(event.candidate())));
    }

    private static HistoryEntry leaderElected(String group, ConsensusEvent.LeaderElected event) {
        return new HistoryEntry(
                "leads",
                Map.of(
                        "group", group,
                        "term", text(event.term()),
                        "as", text(event.by().incarnation())));
    }

    private static HistoryEntry entryStored(String group, ConsensusEvent.EntryStored event) {
        Map<String, String> fields =
                new HashMap<>(
                        Map.of(
                                "group", group,
                                "index", text(event.index()),
                                "as", text(event.by().incarnation()),
                                "sum", checksum(event.entry().content())));
        if (event.entry().kind() == LogEntry.Kind.VOTERS) {
            fields.put("voters", text(VoterSet.decode(event.entry().bytes())));
        }
        return new HistoryEntry("stored", fields);
    }

    private static HistoryEntry votersChanged(String group, ConsensusEvent.VotersChanged event) {
        return new HistoryEntry(
                "seated",
                Map.of(
                        "group", group,
                        "index", text(event.index()),
                        "voters", text(event.voters())));
    }

    static HistoryEntry entryApplied(LogPosition position, byte[] content, byte[] state) {
        return new HistoryEntry(
                "loaded",
                Map.of(
                        "group",
                        text(position.group()),
                        "index",
                        text(position.index()),
                        "sum",
                        checksum(content),
                        "state",
                        checksum(state)));
    }

    static HistoryEntry snapshotRestored(LogPosition position, byte[] state, long incarnation) {
        return new HistoryEntry(
                "restored",
                Map.of(
                        "group",
                        text(position.group()),
                        "index",
                        text(position.index()),
                        "state",
                        checksum(state),
                        "as",
                        text(incarnation)));
    }

    static HistoryEntry tableActivated(RouteTable table) {
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

    /** Returns a route in the form {@code from>to:way:parts:per_s}. */
    private static String text(RouteTable.ZoneRoute route) {
        return route.from()
                + ">"
                + route.to()
                + ":"
                + route.reason().name().toLowerCase(Locale.ROOT)
                + ":"
                + route.weight()
                + ":"
                + route.maxPerSecond();
    }

    static HistoryEntry leaseExpired(RouteTable table) {
        return new HistoryEntry("lapsed", Map.of("number", text(table.number())));
    }

    /**
     * Returns the event of a renewed lease, which counts from the given age ago, in nanoseconds.
     */
    static HistoryEntry leaseRenewed(long age) {
        return new HistoryEntry("renewed", Map.of("age", text(age)));
    }

    static HistoryEntry nodesDraining(List<RouteTable.DrainingNode> nodes) {
        return new HistoryEntry(
                "leaving",
                Map.of(
                        "nodes",
                        nodes.stream()
                                .map(node -> text(node.node()))
                                .collect(Collectors.joining(","))));
    }

    static HistoryEntry tableRejected(RouteTable table, String why) {
        return new HistoryEntry("refused", Map.of("number", text(table.number()), "why", why));
    }

    /**
     * Returns the event of a table that the leader does not propose because a replica has no
     * capacity for it.
     */
    static HistoryEntry tableHeldBack(
            int replica, int bytes, int nodes, RouteTableCapacity capacity) {
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
                        capacity.bytes() + " bytes, " + capacity.leaving() + " nodes"));
    }

    /** Returns a group as a text; texts sort in the order of the groups. */
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

    private static String checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return Long.toHexString(crc.getValue());
    }
}
