package cedarrudder.operator;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.draining.PolicyValidator.OverlappingPolicies;
import java.util.List;

/**
 * What the operator's file says of drains.
 *
 * @param revision the highest of all replicas' counts for all
 * @param both the pairs of policies that are for some endpoint both
 * @param conditions what reads the conditions of these policies, and of those that other replicas
 *     have
 */
public record DrainsConfiguration(
        long revision,
        List<DrainPolicy> policies,
        List<OverlappingPolicies> both,
        ConditionCompiler conditions) {}
