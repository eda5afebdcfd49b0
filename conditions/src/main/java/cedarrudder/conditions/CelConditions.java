package cedarrudder.conditions;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainableNode;
import cedarrudder.draining.InvalidConditionException;
import cedarrudder.draining.PolicyConditionInputs;
import dev.cel.checker.CelStandardDeclarations;
import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelIssue;
import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.CelValidationResult;
import dev.cel.common.types.CelType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerBuilder;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Compiles conditions in CEL (the Common Expression Language) with Google's own library. The
 * supported part of the language is limited to what runs in a time bounded by the length of the
 * text: no macros, so there are no loops, and no regular expressions. A condition that takes longer
 * than {@link #MAX_NANOS} all the same counts as one that can't be decided.
 */
public final class CelConditions implements ConditionCompiler {

    /** The maximum duration of an evaluation, in nanoseconds of CPU time of its thread. */
    public static final long MAX_NANOS = 50_000_000L;

    private static final CelOptions OPTIONS =
            CelOptions.current()
                    .enableHeterogeneousNumericComparisons(true)
                    .maxExpressionCodePointSize(1 << 10)
                    .maxParseRecursionDepth(64)
                    .build();

    private static final Map<String, CelType> POLICY_VARIABLES = figures();

    private static final Map<String, CelType> NODE_VARIABLES = node();

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private static final PolicyConditionInputs SAMPLE_INPUTS =
            new PolicyConditionInputs(0, 0, 0, 1, 1, 1, 0, 0);

    private static final DrainableNode SAMPLE_NODE =
            new DrainableNode(0, "", "", 0, "", 1, DrainableNode.NodeStatus.SERVING, 0);

    private final CelRuntime runtime =
            CelRuntimeFactory.standardCelRuntimeBuilder().setOptions(OPTIONS).build();
    private CelCompiler policyCompiler;
    private CelCompiler nodeCompiler;

    private static Map<String, CelType> figures() {
        Map<String, CelType> types = new LinkedHashMap<>();
        for (PolicyConditionInputs.Name name : PolicyConditionInputs.Name.values()) {
            types.put(variableName(name), name.isFraction() ? SimpleType.DOUBLE : SimpleType.INT);
        }
        return types;
    }

    private static Map<String, CelType> node() {
        Map<String, CelType> types = new LinkedHashMap<>();
        types.put("tier", SimpleType.STRING);
        types.put("zone", SimpleType.STRING);
        types.put("pod", SimpleType.INT);
        types.put("kind", SimpleType.STRING);
        types.put("weight", SimpleType.DOUBLE);
        return types;
    }

    private static String variableName(PolicyConditionInputs.Name name) {
        return name.name().toLowerCase(Locale.ROOT);
    }

    private static CelCompiler compiler(Map<String, CelType> types) {
        CelCompilerBuilder builder =
                CelCompilerFactory.standardCelCompilerBuilder()
                        .setOptions(OPTIONS)
                        .setStandardEnvironmentEnabled(false)
                        .setStandardDeclarations(
                                CelStandardDeclarations.newBuilder()
                                        .excludeFunctions(
                                                CelStandardDeclarations.StandardFunction.MATCHES)
                                        .build());
        types.forEach(builder::addVar);
        return builder.build();
    }

    @Override
    public PolicyCondition compilePolicyCondition(String text) {
        policyCompiler = policyCompiler == null ? compiler(POLICY_VARIABLES) : policyCompiler;
        CelRuntime.Program program = program(policyCompiler, POLICY_VARIABLES, text);
        PolicyCondition condition =
                figures -> {
                    Map<String, Object> values = new HashMap<>();
                    for (PolicyConditionInputs.Name name : PolicyConditionInputs.Name.values()) {
                        values.put(variableName(name), figures.of(name));
                    }
                    return holds(program, values);
                };
        evaluateOnce(() -> condition.holds(SAMPLE_INPUTS));
        return condition;
    }

    @Override
    public NodeCondition compileNodeCondition(String text) {
        nodeCompiler = nodeCompiler == null ? compiler(NODE_VARIABLES) : nodeCompiler;
        CelRuntime.Program program = program(nodeCompiler, NODE_VARIABLES, text);
        NodeCondition condition =
                node ->
                        holds(
                                program,
                                Map.of(
                                        "tier",
                                        node.tier(),
                                        "zone",
                                        node.zone(),
                                        "pod",
                                        (long) node.pod(),
                                        "kind",
                                        node.kind(),
                                        "weight",
                                        node.weight()));
        evaluateOnce(() -> condition.holds(SAMPLE_NODE));
        return condition;
    }

    /**
     * Evaluates a condition once to load the classes that this needs, so that the event loop never
     * waits for them.
     */
    private static void evaluateOnce(Runnable evaluation) {
        try {
            evaluation.run();
        } catch (IllegalStateException e) {
            // The condition can't be decided for this sample; its classes are loaded all the same.
        }
    }

    private CelRuntime.Program program(
            CelCompiler compiler, Map<String, CelType> types, String text) {
        String allowed = "a condition of CEL over " + names(types);
        try {
            CelValidationResult result = compiler.compile(text);
            if (result.hasError()) {
                throw new InvalidConditionException(
                        found(text, result.getErrors().get(0)), allowed);
            }
            CelAbstractSyntaxTree tree = result.getAst();
            if (!tree.getResultType().equals(SimpleType.BOOL)) {
                throw new InvalidConditionException(
                        "'"
                                + shortened(text)
                                + "', which is of the type "
                                + tree.getResultType().name(),
                        "a condition that is true or false");
            }
            return runtime.createProgram(tree);
        } catch (CelValidationException | CelEvaluationException e) {
            throw new InvalidConditionException(
                    "'"
                            + shortened(text)
                            + "': "
                            + shortened(String.valueOf(e.getMessage()).replaceAll("\\R", " ")),
                    allowed);
        }
    }

    private static String found(String text, CelIssue issue) {
        String message =
                issue.getMessage()
                        .replaceFirst(" \\(candidates.*", "")
                        .replaceFirst(" \\(in container ''\\)", "")
                        .replaceAll("\\R", " ");
        return "'"
                + shortened(text)
                + "', at character "
                + (issue.getSourceLocation().getColumn() + 1)
                + " "
                + shortened(message);
    }

    private static String names(Map<String, CelType> types) {
        return types.entrySet().stream()
                .map(each -> each.getKey() + " (" + description(each.getValue()) + ")")
                .collect(Collectors.joining(", "));
    }

    private static String description(CelType type) {
        if (type == SimpleType.DOUBLE) {
            return "a number such as 0.02";
        }
        return type == SimpleType.INT ? "a whole number" : "a text";
    }

    private static String shortened(String text) {
        return text.length() > 100 ? text.substring(0, 100) + "..." : text;
    }

    private static boolean holds(CelRuntime.Program program, Map<String, ?> values) {
        try {
            // CPU time, since on a busy machine elapsed time would include pauses of the thread.
            long started = THREADS.getCurrentThreadCpuTime();
            boolean holds = (Boolean) program.eval(values);
            if (THREADS.getCurrentThreadCpuTime() - started > MAX_NANOS) {
                throw new IllegalStateException("a condition took over " + MAX_NANOS + " ns");
            }
            return holds;
        } catch (CelEvaluationException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
