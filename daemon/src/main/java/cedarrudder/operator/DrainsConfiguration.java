package cedarrudder.operator;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.draining.PolicyValidator.OverlappingPolicies;
import java.util.List;

/**
 * The drain policies of the operator's file.
 *
 * @param revision the revision of the policies; the highest one among the replicas applies to all
 * @param policies the policies
 * @param both the pairs of policies that apply to the same endpoints
 * @param conditions the compiler for the conditions of these policies, and of those of other
 *     replicas
 */
public record DrainsConfiguration(
        long revision,
        List<DrainPolicy> policies,
        List<OverlappingPolicies> both,
        ConditionCompiler conditions) {}
