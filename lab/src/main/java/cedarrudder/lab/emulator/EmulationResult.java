package cedarrudder.lab.emulator;

import cedarrudder.lab.result.RunResult;
import java.util.List;

/**
 * What a run on sockets came to.
 *
 * @param result as the model would give it, with what the referee found in the record
 * @param own the emulator's own error
 * @param proxies what each process held
 * @param quarters of a run of two minutes or more: what processes held in each
 * @param lostAtRestarts requests that proxies took and left unanswered at planned restarts
 * @param record the file with all that the parties saw
 */
public record EmulationResult(
        RunResult result,
        Own own,
        List<ProxyUse> proxies,
        List<Quarter> quarters,
        long lostAtRestarts,
        String record) {

    /**
     * How late the emulator played its parts, in milliseconds: its timers, its nodes, its clients.
     *
     * @param maxAt when it was latest, in seconds since the run's start
     * @param maxInLead the same in the lead, which isn't counted: there the emulator itself is
     *     still cold
     * @param ranLate whether it was too late for the run to count: then it is the machine that was
     *     busy
     * @param readySeconds until all proxies were ready
     */
    public record Own(
            long events,
            double p50,
            double p99,
            double max,
            double maxAt,
            double maxInLead,
            boolean ranLate,
            double readySeconds) {}

    /** The most that a proxy's processes held, and the processor time of the one that had most. */
    public record ProxyUse(
            int proxy, String tier, long residentKib, long descriptors, double cpuSeconds) {}

    /**
     * Medians over the processes and seconds of a quarter of the run, and the most that one held.
     */
    public record Quarter(double residentKib, double descriptors, long maxKib) {}

    /** Whether nothing was found: no rule broken, nothing lost, and a run that can be trusted. */
    public boolean clean() {
        return result.breaches().isEmpty()
                && result.finding().isEmpty()
                && lostAtRestarts == 0
                && !own.ranLate();
    }
}
