package cedarrudder.program;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.simulator.SimulatorHost;

/**
 * The program. Its commands are {@code serve}, {@code adapter}, {@code check} and {@code version}.
 *
 * <p>This avoids paying for what a start doesn't need: {@code serve} and {@code adapter} alone,
 * which the platform starts in many replicas on shared cores, go past the reader of arguments, and
 * none of its classes are loaded.
 */
public final class Main {

    private Main() {}

    /** Runs the command that the arguments name, and ends with its exit code. */
    public static void main(String[] args) throws InterruptedException {
        int code;
        if (args.length == 1 && args[0].equals("adapter")) {
            code = SimulatorHost.run(BalancerParameters.DEFAULTS);
        } else if (args.length == 1 && args[0].equals("serve")) {
            code = ProxyProcess.serve(ServeOptions.NONE);
        } else {
            code = Commands.run(args);
        }
        // Where all is well the program ends with its last thread, which the proxy's loop is.
        if (code != 0) {
            System.exit(code);
        }
    }
}
