/** The load generator: open loop, latencies from the intended time of sending. */
package cedarrudder.lab.load;
