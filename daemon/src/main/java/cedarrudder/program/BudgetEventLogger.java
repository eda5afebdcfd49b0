package cedarrudder.program;

import cedarrudder.budget.BudgetEvents;
import cedarrudder.budget.HopPath;
import cedarrudder.logging.Logger;

/** Logs the events of budgets. */
record BudgetEventLogger(Logger log) implements BudgetEvents {

    @Override
    public void loopRejected(HopPath path, long more) {
        log.warn("budget.loop_rejected").with("path", path).with("repeated", more).write();
    }

    @Override
    public void summarized(MinuteSummary figures) {
        log.info("budget.summarized")
                .with("requests", figures.requests())
                .with("denied_by_tree", figures.deniedByTree())
                .with("denied_by_share", figures.deniedByShare())
                .with("overload", figures.overload())
                .with("no_time", figures.noTime())
                .with("admitted_percent", figures.admittedPercent())
                .write();
    }
}
