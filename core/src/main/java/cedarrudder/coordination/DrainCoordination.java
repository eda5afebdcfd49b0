package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * Which nodes are being removed: a state that all replicas agree on, changed by commands that they
 * agree on. What a command does must depend on the state and the command alone.
 */
public interface DrainCoordination {

    /**
     * The attempts that this replica still has at draining endpoints; as {@link
     * TrafficCoordination#reportParts}.
     */
    List<byte[]> reportParts(long now);

    /**
     * At the leader: a part of what another replica still has, or it itself. It may be malformed.
     */
    void onReportPart(long now, int from, byte[] part);

    /** At the leader, each period: a command that is due by what was reported, or null. */
    byte[] nextCommand(long now, TierView tier);

    /**
     * This replica leads from here on, or no longer: what was reported to it before counts no more.
     */
    void onLeadership(long now, boolean leads);

    /** A command is committed; a malformed one changes nothing. */
    void apply(long now, byte[] command);

    /** The nodes being removed now, by the state. */
    List<RouteTable.DrainingNode> drainingNodes();

    /** The state; the same at each replica that applied the same. */
    byte[] state();

    /** This state takes the place of the one that is; empty is that before the first command. */
    void restore(long now, byte[] state);

    /** No node is removed. */
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
