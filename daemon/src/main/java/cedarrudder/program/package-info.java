/**
 * The program: the command line, configuration, wiring, signals, reload, handover and exit.
 *
 * <p>{@link cedarrudder.program.Main} starts the program, {@link cedarrudder.program.ProxyProcess}
 * is the process, {@link cedarrudder.program.ProxyServer} wires the parts.
 *
 * <p>Uses all other packages of the daemon and of core.
 */
package cedarrudder.program;
