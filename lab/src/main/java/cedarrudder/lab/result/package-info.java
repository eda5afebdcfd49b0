/** The result of one run, as it is written to disk. */
package cedarrudder.lab.result;
