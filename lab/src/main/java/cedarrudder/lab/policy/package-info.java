/** What a load balancing policy is in the lab: a way to make the balancer of one proxy. */
package cedarrudder.lab.policy;
