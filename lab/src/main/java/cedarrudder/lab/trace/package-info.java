/** Traces of runs: all that can be seen of them from outside. */
package cedarrudder.lab.trace;
