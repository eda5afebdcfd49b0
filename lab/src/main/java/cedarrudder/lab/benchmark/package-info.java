/**
 * JMH benchmarks of the decisions, the forwarder and the HTTP decoder, and a measurement of memory.
 */
package cedarrudder.lab.benchmark;
