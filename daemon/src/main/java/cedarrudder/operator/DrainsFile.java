package cedarrudder.operator;

import cedarrudder.drainage.Conditions;
import cedarrudder.drainage.Policy;
import cedarrudder.drainage.PolicyCheck.Both;
import java.util.List;

/**
 * What the operator's file says of drains.
 *
 * @param revision the highest of all copies' counts for all
 * @param both the pairs of policies that are for some node both
 * @param conditions what reads the conditions of these policies, and of those that other copies
 *     have
 */
public record DrainsFile(
        long revision, List<Policy> policies, List<Both> both, Conditions conditions) {}
