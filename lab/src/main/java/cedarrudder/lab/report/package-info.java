/** Reports of experiments: plots, tables and pages. */
package cedarrudder.lab.report;
