package cedarrudder.lab.command;

import cedarrudder.lab.load.Relay;
import cedarrudder.protocol.Addresses;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code relay}: passes bytes on and reads nothing in them. */
@Command(
        name = "relay",
        description =
                "Passes bytes on to targets, one event loop, until it is ended: what "
                        + "a daemon's cost is held against. Prints where it listens.")
final class RelayCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "LISTEN",
            description = "Where to listen; port 0 chooses one.")
    private String listen;

    @Parameters(
            index = "1..*",
            arity = "1..*",
            paramLabel = "TARGET",
            description = "Where to connect.")
    private List<String> targets;

    @Override
    public Integer call() throws InterruptedException {
        InetSocketAddress at;
        List<InetSocketAddress> to;
        try {
            at = Addresses.parse(listen);
            to = targets.stream().map(Addresses::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        try (Relay relay = new Relay(at, to)) {
            InetSocketAddress address = relay.address();
            spec.commandLine()
                    .getOut()
                    .println(address.getAddress().getHostAddress() + ":" + address.getPort());
            spec.commandLine().getOut().flush();
            new CountDownLatch(1).await();
        }
        return ExitCode.OK;
    }
}
