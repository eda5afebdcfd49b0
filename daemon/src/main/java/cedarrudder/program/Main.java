package cedarrudder.program;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.simulator.SimulatorHost;

/**
 * The entry point of the program. Its commands are {@code serve}, {@code adapter}, {@code check}
 * and {@code version}.
 *
 * <p>{@code serve} and {@code adapter} without arguments, which the platform starts in many
 * replicas on shared cores, bypass the argument parser, so that none of its classes are loaded and
 * the start costs no more than needed.
 */
public final class Main {

    private Main() {}

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] args) throws InterruptedException {
        int code;
        if (args.length == 1 && args[0].equals("adapter")) {
            code = SimulatorHost.run(BalancerParameters.DEFAULTS);
        } else if (args.length == 1 && args[0].equals("serve")) {
            code = ProxyProcess.serve(ServeOptions.NONE);
        } else {
            code = Commands.run(args);
        }
        // On success the program ends with its last thread, which is the proxy's loop.
        if (code != 0) {
            System.exit(code);
        }
    }
}
