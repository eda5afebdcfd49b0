/** Experiments: plans, runs, results on disk, and statistics over them. */
package cedarrudder.lab.experiment;
