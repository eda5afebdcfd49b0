package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * The nodes that are being drained: a replicated state that is changed by replicated commands. The
 * effect of a command must depend only on the state and the command.
 */
public interface DrainCoordination {

    /**
     * Returns the attempts that this replica still has in flight at draining endpoints, in the form
     * of {@link TrafficCoordination#reportParts}.
     */
    List<byte[]> reportParts(long now);

    /**
     * Handles, at the leader, a part of a report of another replica or of this one; the part may be
     * malformed.
     */
    void onReportPart(long now, int from, byte[] part);

    /**
     * Returns, at the leader in each period, a command that is due according to the reports, or
     * null.
     */
    byte[] nextCommand(long now, TierView tier);

    /**
     * Handles the start or end of this replica's leadership. Reports received before are no longer
     * valid.
     */
    void onLeadership(long now, boolean leads);

    /** Applies a committed command; a malformed one changes nothing. */
    void apply(long now, byte[] command);

    /** Returns the nodes that are draining according to the state. */
    List<RouteTable.DrainingNode> drainingNodes();

    /** Returns the encoded state. Replicas that applied the same commands return the same bytes. */
    byte[] state();

    /** Replaces the state; an empty array is the state before the first command. */
    void restore(long now, byte[] state);

    /** An implementation that drains no nodes. */
    DrainCoordination NONE =
            new DrainCoordination() {
                @Override
                public List<byte[]> reportParts(long now) {
                    return List.of();
                }

                @Override
                public void onReportPart(long now, int from, byte[] part) {}

                @Override
                public byte[] nextCommand(long now, TierView tier) {
                    return null;
                }

                @Override
                public void onLeadership(long now, boolean leads) {}

                @Override
                public void apply(long now, byte[] command) {}

                @Override
                public List<RouteTable.DrainingNode> drainingNodes() {
                    return List.of();
                }

                @Override
                public byte[] state() {
                    return new byte[0];
                }

                @Override
                public void restore(long now, byte[] state) {}
            };
}
