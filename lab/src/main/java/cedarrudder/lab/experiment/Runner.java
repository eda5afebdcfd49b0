package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;

/** Makes one run. Called by many threads at once; runs share nothing that changes. */
public interface Runner {

    /**
     * What came of a run.
     *
     * @param result the same for the same job, whatever the machine
     * @param cost what it cost this machine
     */
    record Measured(RunResult result, RunResult.Cost cost) {}

    /**
     * Runs a job to its end. A balancer that misbehaves is a finding of the result and no
     * exception.
     */
    Measured run(Job job);
}
