/**
 * Clusters of real processes with faults between them: processes, relay, scripts and the recording
 * of histories.
 */
package cedarrudder.lab.cluster;
