package cedarrudder.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.GraphicsEnvironment;
import java.awt.Paint;
import java.awt.Shape;
import java.awt.Stroke;
import java.awt.geom.Ellipse2D;
import java.awt.geom.Path2D;
import java.awt.geom.Rectangle2D;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.block.BlockBorder;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.title.LegendTitle;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.chart.ui.RectangleInsets;

/**
 * How all plots look. Colours are those of Okabe and Ito (Color Universal Design, 2008), which
 * people with any kind of colour vision can tell apart; dashes and shapes tell the same without any
 * colour.
 */
final class Style {

    static final Color INK = new Color(0x222222);
    static final Color FAINT = new Color(0xdddddd);
    static final Color BLUE = new Color(0x0072B2);
    static final Color RED = new Color(0xD55E00);
    static final Color GREY = new Color(0x777777);
    static final Stroke THIN = new BasicStroke(1);

    private static final Color[] COLOURS = {
        BLUE,
        RED,
        new Color(0x009E73),
        new Color(0xCC79A7),
        new Color(0xE69F00),
        new Color(0x56B4E9),
        Color.BLACK,
        new Color(0x999900)
    };
    private static final float[][] DASHES = {
        null, {6, 3}, {2, 2}, {8, 2, 2, 2}, {12, 4}, {4, 2, 1, 2, 1, 2}
    };

    /**
     * These have the same widths, so that a page laid out with one is right where another is shown.
     */
    private static final List<String> ALIKE = List.of("Arial", "Liberation Sans", "Helvetica");

    private static final Font TEXT = new Font(family(), Font.PLAIN, 12);
    private static final double HALF = 4;

    private Style() {}

    private static String family() {
        Set<String> there =
                Set.of(
                        GraphicsEnvironment.getLocalGraphicsEnvironment()
                                .getAvailableFontFamilyNames(Locale.ROOT));
        return ALIKE.stream().filter(there::contains).findFirst().orElse(Font.SANS_SERIF);
    }

    static Paint colour(int index) {
        return COLOURS[index % COLOURS.length];
    }

    static Stroke line(int index) {
        float[] dash = DASHES[index % DASHES.length];
        return dash == null
                ? new BasicStroke(2)
                : new BasicStroke(2, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, dash, 0);
    }

    /** A circle, square, triangle, diamond, a triangle that stands on its tip, and a bar. */
    static Shape mark(int index) {
        return switch (index % 6) {
            case 0 -> new Ellipse2D.Double(-HALF, -HALF, 2 * HALF, 2 * HALF);
            case 1 -> new Rectangle2D.Double(-HALF, -HALF, 2 * HALF, 2 * HALF);
            case 2 -> polygon(0, -HALF - 1, HALF + 1, HALF, -HALF - 1, HALF);
            case 3 -> polygon(0, -HALF - 1, HALF + 1, 0, 0, HALF + 1, -HALF - 1, 0);
            case 4 -> polygon(0, HALF + 1, HALF + 1, -HALF, -HALF - 1, -HALF);
            default -> new Rectangle2D.Double(-1, -HALF - 2, 2, 2 * HALF + 4);
        };
    }

    private static Shape polygon(double... points) {
        Path2D path = new Path2D.Double();
        path.moveTo(points[0], points[1]);
        for (int i = 2; i < points.length; i += 2) {
            path.lineTo(points[i], points[i + 1]);
        }
        path.closePath();
        return path;
    }

    static void axis(ValueAxis axis) {
        axis.setTickLabelFont(TEXT);
        axis.setLabelFont(TEXT);
        axis.setAxisLinePaint(GREY);
        axis.setTickMarkPaint(GREY);
        axis.setLabelPaint(INK);
        axis.setTickLabelPaint(INK);
    }

    static void plot(XYPlot plot) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(FAINT);
        plot.setRangeGridlinePaint(FAINT);
        plot.setDomainGridlineStroke(THIN);
        plot.setRangeGridlineStroke(THIN);
        plot.setOutlinePaint(FAINT);
    }

    /** A chart of a plot; its title is text of the page, so it has none. */
    static JFreeChart chart(XYPlot plot, boolean legend) {
        JFreeChart chart = new JFreeChart(null, TEXT, plot, legend);
        chart.setBackgroundPaint(Color.WHITE);
        chart.setTextAntiAlias(true);
        // Room for the last label of an axis.
        chart.setPadding(new RectangleInsets(0, 0, 0, 16));
        LegendTitle shown = chart.getLegend();
        if (shown != null) {
            shown.setItemFont(TEXT);
            shown.setPosition(RectangleEdge.TOP);
            shown.setFrame(BlockBorder.NONE);
        }
        return chart;
    }
}
