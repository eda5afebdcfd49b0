package cedarrudder.lab.benchmark;

import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** The daemon's reading of one request, from bytes in one piece to what the balancer is told. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class HttpBenchmark {

    /** Bytes of the body; 0 is a GET. */
    @Param({"0", "512", "16384"})
    public int body;

    private final RequestHeaders fields = new RequestHeaders(Platform.settings(1, 0));
    private final HttpDecoder decoder =
            HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
    private ByteBuf bytes;

    /** Sets up what is measured. */
    @Setup
    public void fill() {
        String method = body == 0 ? "GET" : "POST";
        String kind = body == 0 ? "lookup" : "order";
        bytes =
                Unpooled.copiedBuffer(
                        method
                                + " /messages/17 HTTP/1.1\r\nHost: front:8080\r\n"
                                + "Req-Id: 7c9e6679-1\r\nReq-Kind: "
                                + kind
                                + "\r\nReq-Owner: clinic\r\nReq-Cost: 15000\r\n"
                                + "Req-Deadline-Ms: 600\r\nAccept: */*\r\nContent-Length: "
                                + body
                                + "\r\n\r\n"
                                + "x".repeat(body),
                        StandardCharsets.ISO_8859_1);
    }

    /** Decodes one request. */
    @Benchmark
    public Request read() throws MalformedMessageException {
        bytes.readerIndex(0);
        return fields.read(
                decoder.decode(bytes),
                1,
                Platform.SECOND,
                0,
                Long.MAX_VALUE,
                PropagatedBudget.NOTHING);
    }
}
