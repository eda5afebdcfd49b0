/** Simulation of zone failover, with policies to compare with. */
package cedarrudder.lab.failover;
