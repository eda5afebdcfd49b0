package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;

/** What a run cost the machine: one line of {@code costs.jsonl}. */
public record CostLine(
        String scenario, String variant, long seed, long requests, RunResult.Cost cost) {}
